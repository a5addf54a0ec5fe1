package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// paceKey is what has a pace of its own.
type paceKey struct {
	pool  string
	model string
}

// RecordFirstByte takes in how long the head of an answer took.
func (b *Balancer) RecordFirstByte(c *Choice, model string, first, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := paceKey{c.Server.Pool, model}
	pace := b.paces[key]
	if pace.weight >= leastWeight {
		// Before, the first servers to answer would seem faster than all others.
		b.state(&c.Server).noteSlow(first, pace.FirstByte(c.PrefillTokens), now)
	}
	b.paces[key] = pace.WithFirstByte(c.PrefillTokens, first)
}

// RecordInterEvent takes in the mean pause between events of a stream.
func (b *Balancer) RecordInterEvent(pool, model string, ms float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := paceKey{pool, model}
	b.paces[key] = b.paces[key].WithInterEvent(ms)
}

// LatencyModel returns the pace of the pool's servers with the model.
func (b *Balancer) LatencyModel(pool, model string) LatencyModel {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paces[paceKey{pool, model}]
}
