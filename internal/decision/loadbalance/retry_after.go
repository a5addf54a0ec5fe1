package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// minRetryAfter and maxRetryAfter bound RetryAfter: free capacity is never certain,
	// and callers wait for seconds only.
	minRetryAfter = 100 * clock.Millis(1)
	maxRetryAfter = 3_000 * clock.Millis(1)
	// typicalEvents is the assumed number of events in an answer.
	typicalEvents = 30
)

// RetryAfter returns the time until a full pool is expected to have free capacity:
// when its least loaded server has finished the requests beyond its limit, at the
// typical latency of the pool.
//
// Load pattern: servers of a pool are lost or killed and their callers retry together.
// A retry that comes too early is only rejected again.
func (b *Balancer) RetryAfter(v *fleet.View, pool catalog.Pool, model string, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	latency := b.models[modelKey{pool.Name, model}]
	requestMs := float64(latency.FirstByte(0))
	if pool.HasEngines() {
		requestMs += typicalEvents * latency.InterEventMs()
	}
	entries := v.Pool(pool.Name)
	wait := maxRetryAfter
	for i := range entries {
		e := &entries[i]
		if !v.InService(e) {
			continue
		}
		n := b.announcements.of(e)
		if b.announcements.hasDeparted(n, now) {
			continue
		}
		if n.isPaused(now) {
			wait = min(wait, n.pausedUntil-now)
			continue
		}
		if b.limits.blocks(e, now) {
			continue
		}
		s := b.state(e)
		excess := max(float64(s.load(now).Calls)-b.maxCalls(s, e, &pool)+1, 1)
		wait = min(wait, clock.Millis(requestMs*excess/float64(s.slotsOf(e))))
	}
	return max(wait, minRetryAfter)
}
