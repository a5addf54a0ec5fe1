package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// minReplacementGain is how much sooner another server must respond: the request is sent
// again, and the former server's work is lost.
const minReplacementGain = 100 * clock.Millis(1)

// Replacement compares a silent server, which has a request, with another one.
//
// Load pattern: a pool is full and slow everywhere, so a second attempt only adds to the
// load; or one server of many has become slow, or has lost the request.
type Replacement struct {
	Waited   clock.Millis // since the request was sent, or since its last event
	Expected clock.Millis // by the present load, from sending a request there to its first byte, or to the next event
	// Overdue reports that the server has been silent for longer than its load explains, so
	// that it may have lost the request.
	Overdue   bool
	Next      clock.Millis // expected until the first byte from the other server, its queue counted
	Remaining clock.Millis // until the deadline
}

// Left returns the expected time until the silent server responds. Until the expected time
// it is what is left of that. A server that is overdue is as likely as not to stay silent
// for as long again.
func (r Replacement) Left() clock.Millis {
	switch {
	case r.Waited < r.Expected:
		return r.Expected - r.Waited
	case r.Overdue:
		return r.Waited - r.Expected
	}
	return 0
}

// BeginsSooner reports whether the other server is expected to respond sooner, and in time.
func (r Replacement) BeginsSooner() bool {
	return r.Next+minReplacementGain < r.Left() && r.Next < r.Remaining
}

// MayBeginSooner reports whether any other server could respond sooner.
func (r Replacement) MayBeginSooner() bool { return r.Left() > minReplacementGain }

// streamGain is the factor by which a stream must be expected to end sooner on another
// server, and before its deadline: estimates of its length are rough.
const streamGain = 1.2

// StreamReplacement compares the rest of a stream at its server with the same at another one.
//
// Load pattern: the speed of a server drops in the middle of a stream, which is then cut off
// at its deadline.
type StreamReplacement struct {
	Events         float64      // expected that remain
	InterEvent     float64      // ms, measured lately
	Next           clock.Millis // expected until the first event from the other server, its queue counted
	NextInterEvent float64      // ms, expected there
	Remaining      clock.Millis // until the deadline
}

// MissesDeadline reports whether the stream is expected to be cut off by its deadline.
func (r StreamReplacement) MissesDeadline() bool { return r.Events*r.InterEvent > float64(r.Remaining) }

// FinishesSooner reports whether the stream misses its deadline and is expected to end on the
// other server sooner, and in time.
func (r StreamReplacement) FinishesSooner() bool {
	next := float64(r.Next) + r.Events*r.NextInterEvent
	return r.MissesDeadline() && streamGain*next < min(r.Events*r.InterEvent, float64(r.Remaining))
}

// Forecast is what is expected of a server from its load.
type Forecast struct {
	Backlog
	FirstByte clock.Millis // from sending a request now to its first byte, the queue counted
	Slowness  float64      // factor by which the server is slower than its pool
}

// Forecast returns what is expected of the choice's request at its server now, as if it were
// sent now.
func (b *Balancer) Forecast(c *Choice, pool catalog.Pool, model string, now clock.Millis) Forecast {
	backlog := b.Backlog(&c.Server, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	latency := b.models[modelKey{pool.Name, model}]
	f := Forecast{Backlog: backlog, Slowness: b.state(&c.Server).slowness(now)}
	f.Prefill = max(f.Prefill-c.PrefillTime, 0)
	request := latency.FirstByte(0)
	if pool.HasEngines() {
		request += clock.Millis(typicalEvents * latency.InterEventMs())
	}
	expected := f.Slowness * float64(latency.FirstByte(c.PrefillTokens)+f.Prefill)
	f.FirstByte = clock.Millis(expected) + f.Queue(request)
	return f
}
