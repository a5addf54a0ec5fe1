package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
)

const (
	// engineQueue and plainQueue are the queue lengths that a server is allowed, as a
	// multiple of its slots. Plain servers finish a request in a fraction of its latency
	// target, so a short queue costs little there.
	engineQueue = 0.5
	plainQueue  = 2.0
)

// admit returns Chosen if the server can get the request, and otherwise why it can't.
func (b *Balancer) admit(s *serverState, e *fleet.Entry, n *announcement, limit *serverLimit, r *Request) Result {
	switch {
	case b.announcements.hasDeparted(n, r.Now):
		return NoServer
	case n.isPaused(r.Now):
		return Paused
	case !b.hasCapacity(s, e, n, r), !b.tokens.fits(e.ID, r):
		return AtCapacity
	case limit != nil && !b.limits.ready(e.ID, limit, r.Now):
		return RateLimited
	}
	return Chosen
}

// coldLimit returns this daemon's share of the request rate of a cold server. The burst
// of all daemons together is bounded too, so where there are many daemons, only a few of
// them send to one cold server.
func (r *Request) coldLimit(server string) rateLimit {
	burst := max(int(r.Pool.ColdRate*coldBurst+coldBurstExtra), 1)
	own := float64(coldstart.Slots(server, burst, r.Hosts, r.Self))
	return rateLimit{perSecond: r.Pool.ColdRate * own / float64(burst), burst: own}
}

const (
	// The burst that all daemons together may send to a cold server beyond its rate is
	// coldBurst x the rate plus coldBurstExtra. A cold server fails when it gets more
	// than 1.5 times its rate plus five requests in a second.
	coldBurst      = 0.35
	coldBurstExtra = 3.0
)

// slotsOf returns the number of requests that the server runs at once.
func (s *serverState) slotsOf(e *fleet.Entry) int { return max(s.slots, e.Slots, 1) }

// maxCalls returns the maximum number of requests at the server, from all daemons.
func (s *serverState) maxCalls(e *fleet.Entry, pool *catalog.Pool) float64 {
	queue := plainQueue
	if pool.HasEngines() {
		queue = engineQueue
	}
	return float64(s.slotsOf(e)) * (1 + queue) * s.capacityFactor()
}

const (
	// minCapacityFactor and maxCapacityFactor bound the capacity of a server by its speed. A
	// fast server runs no more requests at once than a slow one: what it holds beyond its
	// slots waits there.
	minCapacityFactor = 0.4
	maxCapacityFactor = 1.7
)

// capacityFactor returns the server's capacity relative to a typical one of its pool, which
// is its speed; 1 if the servers aren't uneven.
func (s *serverState) capacityFactor() float64 {
	return min(max(1/s.lastingSlowness(), minCapacityFactor), maxCapacityFactor)
}

// hasCapacity reports whether the server can accept one more request.
func (b *Balancer) hasCapacity(s *serverState, e *fleet.Entry, n *announcement, r *Request) bool {
	limit := b.maxCalls(s, e, &r.Pool)
	if float64(s.load(r.Now).Calls) >= limit || float64(s.own.Calls) >= n.returnLimit(r, e.ID, s.slotsOf(e), limit) {
		return false
	}
	return !s.isCold(e, &r.Pool, r.Now) || s.coldBucket.ready(r.coldLimit(e.ID), r.Now)
}
