package loadbalance

import (
	"cmp"
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// placement is what a single choice derives from the request and its pool.
type placement struct {
	balancer  *Balancer
	request   *Request
	latency   LatencyModel
	events    eventTimes // of uneven servers
	preferred []int      // indexes of the preferred servers
	sampled   []int      // of these, the ones that are in the sample whatever their hash is
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
		uneven:        b.refreshSpeeds(r.Pool.Name, entries, r.Now),
		prefillTokens: [...]int{r.Prompt.Tokens, b.uncachedTokens(r.Prompt)},
	}
	if p.uneven {
		p.preferred = b.preferredServers(v, r, entries)
	} else if first := b.preferred(v, r, entries); first >= 0 {
		p.preferred = []int{first}
	}
	p.sampled = samplePreferred(p.preferred, entries, r.Salt)
	p.bound = b.sampleBound(r, len(entries), p.uneven)
	firstByte := p.latency.FirstByte
	if p.uneven {
		firstByte = p.latency.FirstByteFromFew
	}
	for i, tokens := range p.prefillTokens {
		p.firstByte[i] = firstByte(tokens)
	}
	return p
}

// isPreferred reports whether the server with the index is expected to have the request's
// shared prefix cached.
func (p *placement) isPreferred(i int) bool { return slices.Contains(p.preferred, i) }

// inSample reports whether the request may choose the server with the index before those
// outside its sample; see sampleBound.
func (p *placement) inSample(i int, e *fleet.Entry) bool {
	return p.bound == math.MaxUint64 || slices.Contains(p.sampled, i) || container.CombineHash(p.request.Salt, e.ID) <= p.bound
}

// maxSampledPreferred is the number of preferred servers that a request compares. With all,
// the daemons would choose the same one by the same reports: in the replay of a hot key with
// 67 daemons, the 99th percentile of the time to the first event was 839 ms in place of 519.
const maxSampledPreferred = 2

// samplePreferred returns some of the preferred servers, others for each request.
func samplePreferred(preferred []int, entries []fleet.Entry, salt uint64) []int {
	if len(preferred) <= maxSampledPreferred {
		return preferred
	}
	order := slices.Clone(preferred)
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Compare(container.CombineHash(salt, entries[j].ID), container.CombineHash(salt, entries[i].ID))
	})
	return order[:maxSampledPreferred]
}

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
	c.pendingPrefill = s.pendingPrefill(now)
	c.TypicalFirstByte = c.unloadedFirstByte + c.pendingPrefill
	expected := p.finish(s, e, which)
	c.queued, c.queueWait = expected.wait > 0, clock.Millis(expected.wait)
	c.TypicalFirstByte += c.queueWait
	c.sharesPrefix = len(p.request.Prompt.Segments) > 1
	c.ExpectedFirstByte = clock.Millis(math.Ceil(expected.firstEvent))
	c.Speed = s.knownSpeed(now)
	return c
}

// work returns the time in ms that the request takes of a typical server that has its shared
// prefix cached: the prefill, which is done alone, and its share of the steps.
func (p *placement) work() float64 {
	slots := float64(max(p.request.Pool.Slots, 1))
	return float64(p.latency.PrefillTime(p.prefillTokens[1])) + p.streamMs(slots)/slots
}
