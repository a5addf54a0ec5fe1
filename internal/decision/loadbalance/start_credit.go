package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// startCredit bounds the requests that this daemon starts in a pool until the next report of
// the others, while the pool has few free places.
//
// Load pattern: many daemons with waiting requests see the same few free places in the same
// report. If each of them took all of these, servers would get several times their slots.
type startCredit struct {
	reportAt   clock.Millis // of the report that it was computed from
	restricted bool
	// credit is the number of requests that may start. It is negative if requests that could
	// not wait have overdrawn it.
	credit float64
}

const (
	// scarcePeriods is the number of report periods for whose starts the free places must
	// suffice; with fewer, they are divided among the daemons.
	scarcePeriods = 2
	// maxCarriedCredit is how much unused credit is kept, so that parts below one add up.
	maxCarriedCredit = 1.0
	// minPart is the least part of the free places for a daemon, as a multiple of an equal one.
	minPart = 0.5
	// costBeyondSlots ranks servers whose slots are all in use behind those outside the
	// request's sample, but ahead of leaving ones.
	costBeyondSlots = costUnsampled + rangeUnsampled + 1_000
	// rangeUnsampled is the range of a pseudo-random cost of servers outside the sample: all
	// daemons whose samples are full would otherwise choose the least loaded one.
	rangeUnsampled = 5_000.0
	// sharedSample is the mean size of a sample with shared capacity. The least loaded server
	// is in sharedSample / servers of all samples, and must not get several times its slots
	// from the requests between two reports.
	sharedSample = 3
)

// sampleBound returns the bound of Request.sampleBound, or that of a smaller sample of model
// engines with shared capacity. Calls at plain servers end within a fraction of the age of
// reports, which are no ground to leave servers out.
func (b *Balancer) sampleBound(r *Request, servers int, uneven bool) uint64 {
	bound := r.sampleBound(servers, uneven)
	if !b.features.SharedCapacity || !r.Pool.HasEngines() || len(r.Hosts) <= maxUnsampledHosts || servers <= sharedSample {
		return bound
	}
	return min(bound, uint64(sharedSample/float64(servers)*math.MaxUint64))
}

// sampleCost returns the cost that ranks groups of servers: those in the request's sample,
// which bound defines, outside it, with all slots in use, and leaving.
func (b *Balancer) sampleCost(s *serverState, e *fleet.Entry, n *announcement, r *Request, inSample bool) float64 {
	switch {
	case n.isLeaving():
		return costLeaving
	case r.Pool.HasEngines() && b.isBeyondSlots(s, e, r.Now):
		return costBeyondSlots
	case b.limits.of(e) != nil:
		return -costUnusedToken
	case !inSample:
		return b.unsampledCost(container.CombineHash(r.Salt, e.ID))
	}
	return 0
}

// unsampledCost returns the cost of a server outside the sample; hash is that of request and
// server.
func (b *Balancer) unsampledCost(hash uint64) float64 {
	if !b.features.SharedCapacity {
		return costUnsampled
	}
	return costUnsampled + rangeUnsampled*float64(hash)/math.MaxUint64
}

// isWithheld reports whether this daemon must leave the pool's free places to others.
func (b *Balancer) isWithheld(v *fleet.View, r *Request, entries []fleet.Entry) bool {
	return b.exceedsOwnPart(v, r, entries) || !b.hasCredit(v, r, entries)
}

// hasCredit reports whether the daemon may start a request in the pool before the next
// report. The free places are divided by the daemons' parts of the pool's requests; the place
// of a request of this daemon that ends is this daemon's.
func (b *Balancer) hasCredit(v *fleet.View, r *Request, entries []fleet.Entry) bool {
	if !b.features.SharedCapacity || !r.Pool.HasEngines() || len(r.Hosts) < 2 {
		return true
	}
	c, ok := b.credits[r.Pool.Name]
	if !ok {
		c = &startCredit{}
		b.credits[r.Pool.Name] = c
	}
	if c.reportAt != b.peerReportAt || !ok {
		c.reportAt = b.peerReportAt
		b.renewCredit(c, v, r, entries)
	}
	return !c.restricted || c.credit+float64(r.Overdraft) >= 1
}

// renewCredit computes the credit from a new report.
func (b *Balancer) renewCredit(c *startCredit, v *fleet.View, r *Request, entries []fleet.Entry) {
	slots, idle, calls, own, limit := 0, 0, 0, 0, 0.0
	for i := range entries {
		e := &entries[i]
		if !v.InService(e) {
			continue
		}
		s := b.state(e)
		load := s.load(r.Now)
		slots += s.slotsOf(e)
		calls += load.Calls
		own += s.own.Calls
		idle += max(s.slotsOf(e)-load.Calls, 0)
		limit += b.maxCalls(s, e, &r.Pool)
	}
	// Requests beyond the limit of one server take the margins of the others.
	free := max(limit-float64(calls), float64(idle))
	runMs := b.runMs(r.Pool.Name)
	if runMs < float64(reportPeriod) || free >= scarcePeriods*float64(slots)*float64(reportPeriod)/runMs {
		// Calls that are shorter than a period say little about the next one.
		*c = startCredit{reportAt: c.reportAt}
		return
	}
	if !c.restricted {
		c.credit = 0 // what was started while there were enough places is no debt
	}
	part := max(float64(own)/float64(max(calls, 1)), minPart/float64(len(r.Hosts)))
	c.restricted = true
	c.credit = min(c.credit, maxCarriedCredit) + free*part
}

// takeCredit takes the credit of a request that begins.
func (b *Balancer) takeCredit(pool string) {
	if c, ok := b.credits[pool]; ok {
		c.credit--
	}
}

// returnCredit gives the credit of a request that has ended to the next one, unless the server
// still has more than its slots.
func (b *Balancer) returnCredit(s *serverState, e *fleet.Entry) {
	if c, ok := b.credits[e.Pool]; ok && s.load(c.reportAt).Calls < s.slotsOf(e)+1 {
		c.credit++
	}
}

// isBeyondSlots reports whether a further request would wait at the server, although a server
// with a free slot may exist outside the request's sample.
func (b *Balancer) isBeyondSlots(s *serverState, e *fleet.Entry, now clock.Millis) bool {
	return b.features.SharedCapacity && s.load(now).Calls >= s.slotsOf(e)
}
