// Package simulation models the model engines and model versions behind the router. Engines
// batch requests, prefill prompts, cache prefixes and have a cold start. Time is virtual.
package simulation

import "slices"

// Engine is a queueing model of one model engine. All times are in milliseconds of virtual
// time and must not decrease from call to call. Not safe for concurrent use.
type Engine struct {
	Slots           int     // requests in a batch; further ones wait
	ColdSlots       int     // requests that the engine can serve while cold
	PrefillMs       float64 // of a prompt that is not cached
	CachedPrefillMs float64 // of a prompt whose prefix is cached
	DecodeMs        float64 // of a complete answer without other requests
	CacheCapacity   int     // in prompt prefixes
	ColdUntil       float64
	WarmUpMs        float64
	Crashes         int
	DataCentre      int
	running         []float64 // end times, also of waiting requests
	cache           []int     // prefixes, most recently used last
	reports         []loadReport
}

type loadReport struct {
	at       float64
	requests int
}

// Outcome is the outcome of a request at an engine.
type Outcome struct {
	FirstTokenMs float64 // since the arrival of the request
	EndAt        float64
	Failed       bool // the engine crashed; FirstTokenMs is 0
	Cached       bool // the prefix of the prompt was cached
}

// InFlight returns the number of running and waiting requests.
func (e *Engine) InFlight(now float64) int {
	e.running = slices.DeleteFunc(e.running, func(end float64) bool { return end <= now })
	return len(e.running)
}

// ReportedInFlight returns the number of in-flight requests in the latest load report that
// is at least lag old, or 0 if there is none.
func (e *Engine) ReportedInFlight(now, lag float64) int {
	reported := 0
	for _, r := range e.reports {
		if r.at <= now-lag {
			reported = r.requests
		}
	}
	return reported
}

// RecordReport records a load report with the current number of in-flight requests.
func (e *Engine) RecordReport(now float64) {
	e.reports = append(e.reports, loadReport{now, e.InFlight(now)})
	if len(e.reports) > maxReports {
		e.reports = e.reports[len(e.reports)-maxReports:]
	}
}

const maxReports = 64

// Cold reports whether the engine is in its cold start.
func (e *Engine) Cold(now float64) bool { return now < e.ColdUntil }

// Serve starts a request whose prompt has the given prefix. The request waits if all slots
// are taken. A cold engine crashes if it already has ColdSlots requests: it drops them and
// its cache, and its cold start begins again. Outcomes returned earlier are unaffected.
func (e *Engine) Serve(now float64, prefix int) Outcome {
	n := e.InFlight(now)
	if e.Cold(now) && n >= e.ColdSlots {
		e.Crashes++
		e.running = nil
		e.cache = nil
		e.ColdUntil = now + e.WarmUpMs
		return Outcome{Failed: true, EndAt: now}
	}
	start := now
	if n >= e.Slots {
		ends := slices.Clone(e.running)
		slices.Sort(ends)
		start = ends[n-e.Slots]
	}
	prefill, cached := e.PrefillMs, e.cachePrefix(prefix)
	if cached {
		prefill = e.CachedPrefillMs
	}
	slowdown := 1 + float64(min(n, e.Slots))/float64(e.Slots)
	end := start + prefill + e.DecodeMs*slowdown
	e.running = append(e.running, end)
	return Outcome{FirstTokenMs: start - now + prefill*slowdown, EndAt: end, Cached: cached}
}

// cachePrefix reports whether the prefix is cached, and makes it the most recently used one.
// The least recently used prefix is evicted if the cache is full.
func (e *Engine) cachePrefix(prefix int) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.CacheCapacity {
		e.cache = e.cache[1:]
	}
	return i >= 0
}
