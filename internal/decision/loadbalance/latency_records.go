package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// modelKey identifies a latency model.
type modelKey struct {
	pool  string
	model string
}

// RecordFirstByte records the time to the first byte of a call's answer.
func (b *Balancer) RecordFirstByte(c *Choice, model string, firstByte, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := modelKey{c.Server.Pool, model}
	latency := b.models[key]
	if latency.weight >= minWeight {
		// With fewer answers, the first servers to answer would seem faster than all others.
		b.state(&c.Server).recordSlowness(firstByte, latency.FirstByte(c.PrefillTokens), now)
	}
	b.models[key] = latency.WithFirstByte(c.PrefillTokens, firstByte)
}

// RecordInterEvent records the mean time between the events of a stream.
func (b *Balancer) RecordInterEvent(pool, model string, ms float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := modelKey{pool, model}
	b.models[key] = b.models[key].WithInterEvent(ms)
}

// LatencyModel returns the current latency model of the pool's servers with the model.
func (b *Balancer) LatencyModel(pool, model string) LatencyModel {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.models[modelKey{pool, model}]
}
