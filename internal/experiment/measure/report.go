// Package measure compares the router's decision policies with baselines. All policies run on
// the same seeds in simulation.
package measure

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Row is the result of one policy in one experiment. Mean and Deviation are over the seeds, by
// measure; Deviation is the sample standard deviation.
type Row struct {
	Experiment string             `json:"experiment"`
	Policy     string             `json:"policy"`
	Mean       map[string]float64 `json:"mean"`
	Deviation  map[string]float64 `json:"deviation"`
	Seeds      int                `json:"seeds"`
}

// Experiment compares policies. The first policy is the router's own, the others are
// baselines. Run returns the values of the measures for one seed.
type Experiment struct {
	Name       string
	Question   string
	Measures   []string
	Policies   []string
	Run        func(policy string, seed uint64) map[string]float64
	Conclusion string
}

// Report holds the results of all experiments.
type Report struct {
	Rows []Row `json:"rows"`
}

// RunAll runs every experiment with the seeds from 1 to the given number.
func RunAll(seeds int) Report {
	var report Report
	for _, e := range Experiments() {
		for _, policy := range e.Policies {
			report.Rows = append(report.Rows, e.runPolicy(policy, seeds))
		}
	}
	return report
}

func (e Experiment) runPolicy(policy string, seeds int) Row {
	row := Row{Experiment: e.Name, Policy: policy, Mean: map[string]float64{}, Deviation: map[string]float64{}, Seeds: seeds}
	values := map[string][]float64{}
	for seed := range uint64(seeds) {
		for name, value := range e.Run(policy, seed+1) {
			values[name] = append(values[name], value)
		}
	}
	for name, samples := range values {
		row.Mean[name], row.Deviation[name] = meanAndDeviation(samples)
	}
	return row
}

func meanAndDeviation(samples []float64) (mean, deviation float64) {
	for _, v := range samples {
		mean += v
	}
	mean /= float64(len(samples))
	for _, v := range samples {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(len(samples)-1, 1)))
}

// WriteText writes a Markdown table for each experiment.
func (r Report) WriteText(w io.Writer) {
	for _, e := range Experiments() {
		_, _ = fmt.Fprintf(w, "## %s\n\n%s\n\n| policy | %s |\n|%s\n", e.Name, e.Question, strings.Join(e.Measures, " | "), strings.Repeat(" --- |", len(e.Measures)+1))
		for _, row := range r.Rows {
			if row.Experiment != e.Name {
				continue
			}
			cells := make([]string, len(e.Measures))
			for i, m := range e.Measures {
				cells[i] = fmt.Sprintf("%.4g ± %.2g", row.Mean[m], row.Deviation[m])
			}
			_, _ = fmt.Fprintf(w, "| %s | %s |\n", row.Policy, strings.Join(cells, " | "))
		}
		_, _ = fmt.Fprintf(w, "\n%s\n\n", e.Conclusion)
	}
}

// percentile returns the p-th quantile of the sorted values, with p from 0 to 1, or 0 if there
// are none.
func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}
