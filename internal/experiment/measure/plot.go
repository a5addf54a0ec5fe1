package measure

import (
	"fmt"
	"html"
	"io"
	"math"
)

// Sizes of the plot in points.
const (
	plotWidth  = 760
	barHeight  = 16
	labelWidth = 330
	barsWidth  = 300
)

// WritePlot draws each experiment's first measure of comparison as bars, in SVG.
func (r Report) WritePlot(w io.Writer) {
	var lines []string
	y := 20
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, e := range Experiments() {
		measure := plotted(e)
		add(`<text x="8" y="%d" font-weight="bold">%s: %s</text>`, y, html.EscapeString(e.Name), measure)
		y += barHeight + 4
		most := 0.0
		for _, p := range e.Policies {
			most = math.Max(most, r.find(e.Name, p).Mean[measure])
		}
		for _, p := range e.Policies {
			value := r.find(e.Name, p).Mean[measure]
			width := barsWidth * value / math.Max(most, 1e-9)
			add(`<text x="24" y="%d">%s</text>`, y, html.EscapeString(p))
			add(`<rect x="%d" y="%d" width="%.0f" height="11" fill="#4477aa"/>`, labelWidth, y-10, math.Max(width, 1))
			add(`<text x="%.0f" y="%d">%.4g</text>`, labelWidth+width+6, y, value)
			y += barHeight
		}
		y += barHeight
	}
	_, _ = fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, y)
	_, _ = fmt.Fprintln(w, `<rect width="100%" height="100%" fill="white"/>`)
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, line)
	}
	_, _ = fmt.Fprintln(w, "</svg>")
}

// plotted is the measure by which the users judge the experiment.
func plotted(e Experiment) string {
	for _, c := range comparisons {
		if c.experiment == e.Name {
			return c.measure
		}
	}
	return e.Measures[0]
}
