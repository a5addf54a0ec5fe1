package measure

import (
	"fmt"
	"io"
	"math"
)

// comparison compares the router's policy with a baseline by one of the four measures that
// matter to users. The ratio of the two is below 1 if the router is better.
type comparison struct {
	title      string
	experiment string
	measure    string
	policy     string // the router's own
	baseline   string
	offset     float64 // added to both values, so that the ratio is finite for counts that may be 0
}

var comparisons = []comparison{
	{"cost at the quality target", "model choice", "cost", "learned", "always_best", 0},
	{"latency (first token, p95)", "server choice", "first_p95_ms", "scored", "round_robin", 0},
	{"exposure to bad versions", "bad versions", "exposed", "sequential", "operators_hand", 0},
	{"failures in a data-centre move", "data centre out and back", "failed", "slots", "timer", 1},
}

// user is a user of the router, with the weights that they give to the measures.
type user struct {
	name    string
	weights []float64 // in the order of comparisons; the sum is 1
}

var users = []user{
	{"Ledgerwell", []float64{0.35, 0.15, 0.35, 0.15}},
	{"Kitami", []float64{0.15, 0.35, 0.15, 0.35}},
}

// WriteUserScores writes a Markdown table for each user, with the weighted geometric mean of
// the ratios.
func (r Report) WriteUserScores(w io.Writer) {
	for _, u := range users {
		_, _ = fmt.Fprintf(w, "## Weighted by %s\n\n| measure | weight | router | baseline | ratio |\n| --- | --- | --- | --- | --- |\n", u.name)
		logSum := 0.0
		for i, c := range comparisons {
			own := r.find(c.experiment, c.policy).Mean[c.measure] + c.offset
			baseline := r.find(c.experiment, c.baseline).Mean[c.measure] + c.offset
			ratio := own / baseline
			logSum += u.weights[i] * math.Log(ratio)
			_, _ = fmt.Fprintf(w, "| %s | %.2f | %s %.4g | %s %.4g | %.3f |\n", c.title, u.weights[i], c.policy, own, c.baseline, baseline, ratio)
		}
		_, _ = fmt.Fprintf(w, "\nWeighted geometric mean of the ratios: %.3f (below 1: better than the baselines).\n\n", math.Exp(logSum))
	}
}

// find returns the row of a policy in an experiment, or a zero Row if there is none.
func (r Report) find(experiment, policy string) Row {
	for _, row := range r.Rows {
		if row.Experiment == experiment && row.Policy == policy {
			return row
		}
	}
	return Row{}
}
