// Package simulation holds small models of what the router serves: engines that
// batch, prefill, cache prefixes and are cold at first. Time is virtual.
package simulation

import "slices"

// Engine is a queueing model of one model engine. Times are in ms.
type Engine struct {
	Slots           int
	ColdSlots       int
	PrefillMs       float64 // of a prompt that isn't cached
	CachedPrefillMs float64 // of a prompt whose prefix is cached
	DecodeMs        float64 // of a whole answer while alone
	CacheCapacity   int     // prompt prefixes that the cache holds
	ColdUntil       float64
	WarmUpMs        float64
	Crashes         int
	DataCentre      int
	running         []float64 // end times
	cache           []int     // prefixes, newest last
	reported        []report
}

type report struct {
	at       float64
	requests int
}

// Outcome is what became of a request at an engine.
type Outcome struct {
	FirstTokenMs float64
	EndAt        float64
	Failed       bool
	Cached       bool
}

// InFlight returns how many requests the engine has at that time.
func (e *Engine) InFlight(now float64) int {
	e.running = slices.DeleteFunc(e.running, func(end float64) bool { return end <= now })
	return len(e.running)
}

// ReportedInFlight returns the requests as a report with that lag shows them.
func (e *Engine) ReportedInFlight(now, lag float64) int {
	shown := 0
	for _, r := range e.reported {
		if r.at <= now-lag {
			shown = r.requests
		}
	}
	return shown
}

// RecordReport notes the requests of the moment for later reports.
func (e *Engine) RecordReport(now float64) {
	e.reported = append(e.reported, report{now, e.InFlight(now)})
	if len(e.reported) > reportsKept {
		e.reported = e.reported[len(e.reported)-reportsKept:]
	}
}

const reportsKept = 64

// Cold tells whether the engine is in cold start.
func (e *Engine) Cold(now float64) bool { return now < e.ColdUntil }

// Serve takes a request with a prompt prefix. An engine over its slots makes
// requests wait; a cold one over what it bears falls over.
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
	prefill, cached := e.PrefillMs, e.touch(prefix)
	if cached {
		prefill = e.CachedPrefillMs
	}
	slowdown := 1 + float64(min(n, e.Slots))/float64(e.Slots)
	end := start + prefill + e.DecodeMs*slowdown
	e.running = append(e.running, end)
	return Outcome{FirstTokenMs: start - now + prefill*slowdown, EndAt: end, Cached: cached}
}

// touch tells whether the prefix was cached, and caches it.
func (e *Engine) touch(prefix int) bool {
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
