package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// recordUnevenFirstByte records the time to the first byte of an answer in a pool with
// uneven servers. It shows the server's speed unless a part of the prompt may be cached
// there: a server with more requests has more cached, would seem faster and get even more.
// The latency model gets the time at a typical server without pending prefill, so that it
// doesn't depend on the servers that were chosen.
func (b *Balancer) recordUnevenFirstByte(c *Choice, key modelKey, firstByte, now clock.Millis) {
	s, latency := b.state(&c.Server), b.models[key]
	hasEstimate := latency.weight >= minWeight && c.HasEstimate
	slowness := s.currentSlowness(now)
	isFull := s.load(now).Calls >= s.slotsOf(&c.Server) // by the server's own report
	expected := c.unloadedFirstByte + c.pendingPrefill
	if hasEstimate && !c.queued && !isFull && !c.sharesPrefix {
		s.speed.learn(float64(max(firstByte, 1))/float64(max(expected, 1)), firstByteWeight, now)
	}
	if hasEstimate {
		// What the speed doesn't explain, such as a slowness that the server doesn't state. An
		// answer that is early, because more of the prompt was cached, counts as punctual.
		atServer := clock.Millis(slowness*float64(expected)) + c.queueWait
		s.recordSlowness(max(firstByte, atServer), atServer, now)
	}
	if (c.queued || isFull) && hasEstimate {
		return // the time in the server's queue says nothing about its speed
	}
	typical := clock.Millis(float64(firstByte)/slowness) - c.pendingPrefill
	b.models[key] = latency.WithFirstByte(c.PrefillTokens, max(typical, 1))
}

// recordUnevenEventTime records a mean time between events in a pool with uneven servers.
func (b *Balancer) recordUnevenEventTime(e *fleet.Entry, key modelKey, ms float64, now clock.Millis) {
	s, times := b.state(e), b.decode[key]
	calls := s.load(now).Calls
	if times.weight >= minEventTimes {
		s.speed.learn(ms/times.At(float64(calls)), eventTimeWeight, now)
	}
	b.decode[key] = times.With(calls, ms/s.currentSlowness(now))
}

// eventTimes predicts the time between the events of a stream at a typical server as a
// linear function of the requests there, which share its steps. It is fitted with
// exponentially decaying weights and immutable.
type eventTimes struct {
	weight      float64 // decayed number of measurements
	meanCalls   float64
	meanMs      float64
	meanCallsSq float64
	meanProduct float64 // of calls x ms
}

// eventTimeAnswers is the number of measurements after which the weight of an earlier one
// has fallen to about a third.
const eventTimeAnswers = 200

// minEventTimes is the number of measurements from which on their mean is used. With 390
// daemons, each has some ten streams in 25 s: if the first eight told nothing, the evidence of
// all daemons together would show no server's speed.
const minEventTimes = 2

// minEventTimeMs is the least expected time between events: all events of a short answer may
// arrive within the clock's resolution.
const minEventTimeMs = 0.1

// With returns the times updated with a measurement.
func (t eventTimes) With(calls int, ms float64) eventTimes {
	const keep = 1 - 1.0/eventTimeAnswers
	x, y := float64(calls), min(ms, maxInterEventMs)
	total := t.weight*keep + 1
	old, share := t.weight*keep/total, 1/total
	return eventTimes{
		weight:      total,
		meanCalls:   t.meanCalls*old + x*share,
		meanMs:      t.meanMs*old + y*share,
		meanCallsSq: t.meanCallsSq*old + x*x*share,
		meanProduct: t.meanProduct*old + x*y*share,
	}
}

// perCall returns the time in ms that each request at the server adds.
func (t eventTimes) perCall() float64 {
	variance := t.meanCallsSq - t.meanCalls*t.meanCalls
	if t.weight < minWeight || variance < 1 {
		return 0
	}
	return max((t.meanProduct-t.meanCalls*t.meanMs)/variance, 0)
}

// At returns the expected time in ms at a server with that many requests.
func (t eventTimes) At(calls float64) float64 {
	if t.weight < minEventTimes {
		return defaultInterEventMs
	}
	// A slope that is too high must not make the time of an idle server negative. Measured
	// times are divided by it.
	return max(t.meanMs+t.perCall()*(calls-t.meanCalls), t.meanMs/4, minEventTimeMs)
}
