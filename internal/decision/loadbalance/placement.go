package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// placement is what a single choice derives from the request and its pool.
type placement struct {
	balancer  *Balancer
	request   *Request
	latency   LatencyModel
	events    eventTimes // of uneven servers
	preferred int        // index of the preferred server; -1 if there is none
	bound     uint64     // see sampleBound
	uneven    bool
	// By index: 0 for other servers, 1 for the preferred one.
	prefillTokens [2]int
	firstByte     [2]clock.Millis // at a typical server without other requests
}

// newPlacement prepares the choice of a server. The caller must hold mu.
func (b *Balancer) newPlacement(v *fleet.View, r *Request, entries []fleet.Entry) *placement {
	b.prefixBuf = r.Prompt.Prefixes(r.Model, b.prefixBuf[:0])
	key := modelKey{r.Pool.Name, r.Model}
	p := &placement{
		balancer: b,
		request:  r, latency: b.models[key], events: b.decode[key],
		preferred:     b.preferred(v, r, entries),
		uneven:        b.refreshSpeeds(r.Pool.Name, entries, r.Now),
		prefillTokens: [...]int{r.Prompt.Tokens, b.uncachedTokens(r.Prompt)},
	}
	p.bound = b.sampleBound(r, len(entries), p.uneven)
	for i, tokens := range p.prefillTokens {
		p.firstByte[i] = p.latency.FirstByte(tokens)
	}
	return p
}

// isPreferred reports whether the server with the index is expected to have the request's
// shared prefix cached.
func (p *placement) isPreferred(i int) bool { return i == p.preferred }

// variant returns the index of the server's prefill in the fields of p.
func (p *placement) variant(i int) int {
	if p.isPreferred(i) {
		return 1
	}
	return 0
}

// cost returns the cost of the server with the index, without costUnsampled.
func (p *placement) cost(i int, s *serverState, e *fleet.Entry) float64 {
	which := p.variant(i)
	cost := faultCost(s, e, p.request)
	if p.uneven {
		return cost + p.finishCost(s, e, which)
	}
	return cost + loadCost(s, e, p.request, p.prefillTokens[which], p.firstByte[which])
}

// choice returns the choice of the server with the index.
func (p *placement) choice(i int, s *serverState, e *fleet.Entry) Choice {
	which := p.variant(i)
	now := p.request.Now
	c := Choice{
		Server: *e, PrefillTokens: p.prefillTokens[which], PrefillTime: p.latency.PrefillTime(p.prefillTokens[which]),
		HasEstimate:    p.latency.weight >= minWeight,
		pendingPrefill: s.load(now).Prefill, unloadedFirstByte: p.firstByte[which],
	}
	c.TypicalFirstByte = c.unloadedFirstByte + c.pendingPrefill
	if !p.uneven {
		c.ExpectedFirstByte = clock.Millis(s.slowness(now) * float64(c.TypicalFirstByte))
		return c
	}
	expected := p.finish(s, e, which)
	c.queued, c.queueWait = expected.wait > 0, clock.Millis(expected.wait)
	c.TypicalFirstByte += c.queueWait
	c.sharesPrefix = len(p.request.Prompt.Segments) > 1
	c.ExpectedFirstByte = clock.Millis(math.Ceil(expected.firstEvent))
	c.Speed = s.knownSpeed(now)
	return c
}
