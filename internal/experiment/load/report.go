package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Outcome is the outcome of one request. FirstByte and Total are measured from the moment
// at which the request is sent.
type Outcome struct {
	Kind           RequestKind
	Code           string // result code, "cut" or "no_connection"; see Report
	OK             bool
	FirstByte      time.Duration
	Total          time.Duration
	Version        string
	Session        string
	WrongBody      bool
	RequestID      string
	Cost           int64 // millionths of the billing unit; 0 if the response does not state it
	IdempotencyKey string
}

// Report is the result of a load run.
type Report struct {
	Sent          int                `json:"sent"`
	Served        int                `json:"served"`
	Truncated     int                `json:"cut"`           // connection failed or answer incomplete
	NoConnection  int                `json:"no_connection"` // connection refused
	WrongAnswers  int                `json:"wrong_answers"` // answers that belong to another request
	MovedSessions int                `json:"moved_sessions"`
	Codes         map[string]int     `json:"codes"`
	Versions      map[string]int     `json:"versions"`
	FirstByteMs   map[string]float64 `json:"first_ms"` // p50, p95, p99
	TotalMs       map[string]float64 `json:"whole_ms"`
	Histogram     []Bin              `json:"histogram"`
	Measures      Measures           `json:"measures"`
	Outcomes      []Outcome          `json:"-"`
}

// Bin is a bin of the histogram of total latencies. It ranges from UpToMs/2 to UpToMs, the
// first one from 0.
type Bin struct {
	UpToMs float64 `json:"up_to_ms"`
	Count  int     `json:"count"`
}

// Measures holds the four measures that matter to users.
type Measures struct {
	CostMicros     float64 `json:"cost_micros"`  // mean per complete answer that has a cost
	FirstByteP95Ms float64 `json:"first_p95_ms"` // time to the first byte
	Exposed        int     `json:"exposed"`      // answers by versions in Plan.Bad
	ServedShare    float64 `json:"service"`      // fraction of requests served
}

func computeMeasures(r Report, bad []string) Measures {
	m := Measures{FirstByteP95Ms: r.FirstByteMs["p95"], ServedShare: float64(r.Served) / float64(max(r.Sent, 1))}
	answers := 0
	for _, o := range r.Outcomes {
		if o.OK && o.Cost > 0 {
			answers++
			m.CostMicros += float64(o.Cost)
		}
	}
	m.CostMicros /= float64(max(answers, 1))
	for _, version := range bad {
		m.Exposed += r.Versions[version]
	}
	return m
}

// collector collects outcomes. Safe for concurrent use.
type collector struct {
	mu       sync.Mutex
	outcomes []Outcome // guarded by mu
}

func (c *collector) add(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *collector) report(bad []string) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Sent: len(c.outcomes), Codes: map[string]int{}, Versions: map[string]int{}, Outcomes: c.outcomes}
	var firstByteMs, totalMs []float64
	sessions := map[string]string{}
	for _, o := range c.outcomes {
		r.Codes[o.Code]++
		switch o.Code {
		case "cut":
			r.Truncated++
		case "no_connection":
			r.NoConnection++
		}
		if o.WrongBody {
			r.WrongAnswers++
		}
		if !o.OK {
			continue
		}
		r.Served++
		firstByteMs = append(firstByteMs, millis(o.FirstByte))
		totalMs = append(totalMs, millis(o.Total))
		if o.Version != "" {
			r.Versions[o.Version]++
		}
		if o.Session != "" && sessionMoved(sessions, o) {
			r.MovedSessions++
		}
	}
	r.FirstByteMs, r.TotalMs = percentiles(firstByteMs), percentiles(totalMs)
	r.Histogram = histogram(totalMs)
	r.Measures = computeMeasures(r, bad)
	return r
}

// sessionMoved reports whether the session's previous answer by this model was from another
// version, and records the version in lastVersions.
func sessionMoved(lastVersions map[string]string, o Outcome) bool {
	model, _, _ := strings.Cut(o.Version, "@")
	key := o.Session + " " + model
	last, ok := lastVersions[key]
	lastVersions[key] = o.Version
	return ok && last != o.Version
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// percentiles returns the 50th, 95th and 99th percentile. It sorts values in place.
func percentiles(values []float64) map[string]float64 {
	if len(values) == 0 {
		return map[string]float64{}
	}
	slices.Sort(values)
	at := func(p float64) float64 { return values[min(int(p*float64(len(values))), len(values)-1)] }
	return map[string]float64{"p50": at(0.50), "p95": at(0.95), "p99": at(0.99)}
}

// histogram counts values in bins whose limits are powers of 2, up to 1<<16 ms. Empty bins
// are omitted.
func histogram(values []float64) []Bin {
	var bins []Bin
	for limit := 1.0; limit <= 1<<16; limit *= 2 {
		n := 0
		for _, v := range values {
			if v <= limit && v > limit/2 || limit == 1 && v <= 1 {
				n++
			}
		}
		if n > 0 {
			bins = append(bins, Bin{limit, n})
		}
	}
	return bins
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "sent %d, served %d, cut %d, no connection %d, wrong answers %d, moved sessions %d\n",
		r.Sent, r.Served, r.Truncated, r.NoConnection, r.WrongAnswers, r.MovedSessions)
	_, _ = fmt.Fprintf(w, "first byte  p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", r.FirstByteMs["p50"], r.FirstByteMs["p95"], r.FirstByteMs["p99"])
	_, _ = fmt.Fprintf(w, "whole       p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", r.TotalMs["p50"], r.TotalMs["p95"], r.TotalMs["p99"])
	_, _ = fmt.Fprintf(w, "measures: cost %.0f millionths per answer, first byte p95 %.1f ms, exposed %d, service %.4f\n",
		r.Measures.CostMicros, r.Measures.FirstByteP95Ms, r.Measures.Exposed, r.Measures.ServedShare)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		_, _ = fmt.Fprintf(w, "code %-14s %d\n", code, r.Codes[code])
	}
	for _, version := range slices.Sorted(maps.Keys(r.Versions)) {
		_, _ = fmt.Fprintf(w, "version %-14s %d\n", version, r.Versions[version])
	}
	for _, b := range r.Histogram {
		_, _ = fmt.Fprintf(w, "up to %6.0f ms %6d %s\n", b.UpToMs, b.Count, strings.Repeat("#", min(60, 1+60*b.Count/max(r.Served, 1))))
	}
}
