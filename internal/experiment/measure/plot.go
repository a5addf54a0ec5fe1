package measure

import (
	"fmt"
	"html"
	"io"
	"math"
)

// Dimensions of the plot in SVG user units.
const (
	plotWidth   = 760
	rowHeight   = 16
	labelWidth  = 330
	maxBarWidth = 300
)

// WritePlot writes a bar chart in SVG, with one measure of each experiment and a bar for each
// policy.
func (r Report) WritePlot(w io.Writer) {
	var lines []string
	y := 20
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, e := range Experiments() {
		measure := plottedMeasure(e)
		add(`<text x="8" y="%d" font-weight="bold">%s: %s</text>`, y, html.EscapeString(e.Name), measure)
		y += rowHeight + 4
		maxValue := 0.0
		for _, p := range e.Policies {
			maxValue = math.Max(maxValue, r.find(e.Name, p).Mean[measure])
		}
		for _, p := range e.Policies {
			value := r.find(e.Name, p).Mean[measure]
			width := maxBarWidth * value / math.Max(maxValue, 1e-9)
			add(`<text x="24" y="%d">%s</text>`, y, html.EscapeString(p))
			add(`<rect x="%d" y="%d" width="%.0f" height="11" fill="#4477aa"/>`, labelWidth, y-10, math.Max(width, 1))
			add(`<text x="%.0f" y="%d">%.4g</text>`, labelWidth+width+6, y, value)
			y += rowHeight
		}
		y += rowHeight
	}
	_, _ = fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, y)
	_, _ = fmt.Fprintln(w, `<rect width="100%" height="100%" fill="white"/>`)
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, line)
	}
	_, _ = fmt.Fprintln(w, "</svg>")
}

// plottedMeasure returns the measure of the experiment that the user scores are based on, or
// else its first one.
func plottedMeasure(e Experiment) string {
	for _, c := range comparisons {
		if c.experiment == e.Name {
			return c.measure
		}
	}
	return e.Measures[0]
}
