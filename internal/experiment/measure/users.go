package measure

import (
	"fmt"
	"io"
	"math"
)

// comparison is one of the four measures: the product's policy against a
// baseline, as a ratio below 1 where the product is better.
type comparison struct {
	title      string
	experiment string
	measure    string
	product    string
	baseline   string
	offset     float64 // keeps ratios of counts that may be 0 finite
}

var comparisons = []comparison{
	{"cost at the quality target", "model choice", "cost", "learned", "always_best", 0},
	{"latency (first token, p95)", "server choice", "first_p95_ms", "scored", "round_robin", 0},
	{"exposure to bad versions", "bad versions", "exposed", "sequential", "operators_hand", 0},
	{"failures in a data-centre move", "data centre out and back", "failed", "slots", "timer", 1},
}

// user weighs the measures.
type user struct {
	name    string
	weights []float64 // in the order of the comparisons; they add up to 1
}

var users = []user{
	{"Ledgerwell", []float64{0.35, 0.15, 0.35, 0.15}},
	{"Kitami", []float64{0.15, 0.35, 0.15, 0.35}},
}

// WriteUserScores writes one report weighted as each user weighs the measures.
func (r Report) WriteUserScores(w io.Writer) {
	for _, u := range users {
		_, _ = fmt.Fprintf(w, "## As %s weighs it\n\n| measure | weight | product | baseline | ratio |\n| --- | --- | --- | --- | --- |\n", u.name)
		logSum := 0.0
		for i, c := range comparisons {
			product := r.find(c.experiment, c.product).Mean[c.measure] + c.offset
			baseline := r.find(c.experiment, c.baseline).Mean[c.measure] + c.offset
			ratio := product / baseline
			logSum += u.weights[i] * math.Log(ratio)
			_, _ = fmt.Fprintf(w, "| %s | %.2f | %s %.4g | %s %.4g | %.3f |\n", c.title, u.weights[i], c.product, product, c.baseline, baseline, ratio)
		}
		_, _ = fmt.Fprintf(w, "\nWeighted geometric mean of the ratios: %.3f (below 1: better than the baselines).\n\n", math.Exp(logSum))
	}
}

func (r Report) find(experiment, policy string) Row {
	for _, row := range r.Rows {
		if row.Experiment == experiment && row.Policy == policy {
			return row
		}
	}
	return Row{}
}
