package loadbalance

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// earlyGain is the factor by which a request whose server is not overdue must be expected to miss
// its target there, and to keep it elsewhere.
const earlyGain = 1.25

// minReplacementGain is how much sooner another server must respond: the request is sent
// again, and the former server's work is lost.
const minReplacementGain = 100 * clock.Millis(1)

// fullPool is the utilisation from which a pool counts as full. The other daemons' requests of
// the last second aren't in the loads yet, so an estimate for another server is outdated when
// the request arrives there.
const fullPool = 0.86

// The parts of the retry budget that second attempts may use while the first one isn't lost.
// Escalations use the same budget, and an attempt that only saves a target is worth less.
const (
	targetBudgetPart   = 0.08
	deadlineBudgetPart = 0.2
)

// Replacement compares a silent server, which has a request, with another one.
//
// Load pattern: a pool is full and slow everywhere, so a second attempt only adds to the
// load; or one server of many has become slow, or has lost the request.
type Replacement struct {
	Waited   clock.Millis // since the request was sent, or since its last event
	Expected clock.Millis // by the present load, from sending a request there to its first byte, or to the next event
	// Overdue reports that the load doesn't explain a silence beyond Expected, Lost that it is
	// so long that the server may have lost the request.
	Overdue, Lost bool
	Next          clock.Millis // expected until the first byte from the other server, its queue counted
	Target        clock.Millis // until the target for the first byte, or for the longest pause; negative if missed
	Remaining     clock.Millis // until the deadline
	// Utilisation is the share of the pool's capacity in use, over 1 while requests queue; 0
	// if unknown.
	Utilisation float64
}

// Left returns the expected time until the silent server responds. Until the expected time
// it is what is left of that. A server that is overdue is as likely as not to stay silent
// for as long again.
func (r Replacement) Left() clock.Millis {
	switch {
	case r.Waited < r.Expected:
		return r.Expected - r.Waited
	case r.Overdue || r.Lost:
		return r.Waited - r.Expected
	}
	return 0
}

// BeginsSooner reports whether the other server is expected to respond sooner, and in time.
// Unless the request may be lost, that must save its target or its deadline: prefills of other
// requests delay many a request by a while, and attempts are better spent on escalations. In a
// full pool, saving the target is no reason.
func (r Replacement) BeginsSooner() bool {
	if r.Next+minReplacementGain >= r.Left() || r.Next >= r.Remaining {
		return false
	}
	return r.Lost || r.missesDeadline() || (r.Utilisation < fullPool && r.savesTarget())
}

// missesDeadline reports whether the silent server is expected to respond too late.
func (r Replacement) missesDeadline() bool { return r.Left() >= r.Remaining }

// savesTarget reports whether the silent server is expected to miss the target and the other one
// to meet it.
func (r Replacement) savesTarget() bool {
	return float64(r.Left()) > earlyGain*float64(r.Target) && earlyGain*float64(r.Next) <= float64(r.Target)
}

// KeptInFullPool reports whether only the pool's utilisation speaks against the other server.
func (r Replacement) KeptInFullPool() bool {
	free := r
	free.Utilisation = 0
	return free.BeginsSooner() && !r.BeginsSooner()
}

// BudgetPart returns the part of the retry budget that attempts of this kind may use.
func (r Replacement) BudgetPart() float64 {
	switch {
	case r.Lost:
		return 1
	case r.missesDeadline():
		return deadlineBudgetPart
	}
	return targetBudgetPart
}

// MayBeginSooner reports whether any other server could respond soon enough.
func (r Replacement) MayBeginSooner() bool {
	r.Next = 0
	return r.BeginsSooner()
}

// streamGain is the factor by which a stream must be expected to miss its deadline, and to end
// sooner on another server, and in time: estimates of its length are rough.
const streamGain = 1.2

// lastMoment times the rest of the stream on the other server, plus lastMomentMargin, is the
// remaining time from which a stream is moved: until then, its server may recover. The margin
// is two periods of its pace.
const (
	lastMoment       = 1.3
	lastMomentMargin = 2_000.0
)

// StreamReplacement compares the rest of a stream at its server with the same at another one.
//
// Load pattern: the speed of a server drops in the middle of a stream, which is then cut off
// at its deadline.
type StreamReplacement struct {
	Events         float64      // expected that remain
	InterEvent     float64      // ms, measured over seconds
	Next           clock.Millis // expected until the first event from the other server, its queue counted
	NextInterEvent float64      // ms, expected there
	Remaining      clock.Millis // until the deadline
}

// StreamPace keeps the pace of a stream over its last periods of a second or more. Prefills of
// other requests slow a stream for seconds while prompts are uncached.
type StreamPace struct {
	periods  [pacePeriods]float64 // ms an event
	recorded int
}

// pacePeriods is the number of periods in which a stream must be too slow.
const pacePeriods = 3

// Record adds the mean time between the events of a period, in ms. It returns the least of the
// last periods, and 0 until there are enough of them.
func (p *StreamPace) Record(interEventMs float64) float64 {
	p.periods[p.recorded%pacePeriods] = interEventMs
	p.recorded++
	if p.recorded < pacePeriods {
		return 0
	}
	return slices.Min(p.periods[:])
}

// MissesDeadline reports whether the stream is expected to be cut off by its deadline.
func (r StreamReplacement) MissesDeadline() bool {
	return r.Events*r.InterEvent > streamGain*float64(r.Remaining)
}

// BudgetPart returns the part of the retry budget that attempts of this kind may use.
func (r StreamReplacement) BudgetPart() float64 { return deadlineBudgetPart }

// FinishesSooner reports whether the stream misses its deadline and is expected to end on the
// other server sooner, and in time.
func (r StreamReplacement) FinishesSooner() bool {
	next := float64(r.Next) + r.Events*r.NextInterEvent
	late := float64(r.Remaining) < lastMoment*next+lastMomentMargin
	return late && r.MissesDeadline() && streamGain*next < min(r.Events*r.InterEvent, float64(r.Remaining))
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
