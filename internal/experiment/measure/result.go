// Package measure runs each decision beside its baselines, on the same seeds, on
// the small models, and reports ratios with their spread.
package measure

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Row is one policy's figures in one experiment: a mean and a standard
// deviation over the seeds for each measure.
type Row struct {
	Experiment string             `json:"experiment"`
	Policy     string             `json:"policy"`
	Mean       map[string]float64 `json:"mean"`
	Deviation  map[string]float64 `json:"deviation"`
	Seeds      int                `json:"seeds"`
}

// Experiment compares policies; the first one is the product's.
type Experiment struct {
	Name       string
	Question   string
	Measures   []string
	Policies   []string
	Run        func(policy string, seed uint64) map[string]float64
	Conclusion string
}

// Report is all rows of a run.
type Report struct {
	Rows []Row `json:"rows"`
}

// RunAll runs every experiment on that many seeds.
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
	for name, list := range values {
		row.Mean[name], row.Deviation[name] = meanAndDeviation(list)
	}
	return row
}

func meanAndDeviation(list []float64) (mean, deviation float64) {
	for _, v := range list {
		mean += v
	}
	mean /= float64(len(list))
	for _, v := range list {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(len(list)-1, 1)))
}

// WriteText writes the tables for people, in Markdown.
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

// percentile returns the value below which that share of the sorted list lies.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
