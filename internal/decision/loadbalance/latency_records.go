package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

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
	if !b.remembers(key) {
		return
	}
	if b.isUneven(c.Server.Pool, now) {
		b.recordUnevenFirstByte(c, key, firstByte, now)
		return
	}
	latency := b.models[key]
	if latency.weight >= minWeight {
		// With fewer answers, the first servers to answer would seem faster than all others.
		b.state(&c.Server).recordSlowness(firstByte, latency.FirstByte(c.PrefillTokens), now)
	}
	b.models[key] = latency.WithFirstByte(c.PrefillTokens, firstByte)
}

// RecordInterEvent records the mean time in ms between events of a stream of the server.
func (b *Balancer) RecordInterEvent(e *fleet.Entry, model string, ms float64, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := modelKey{e.Pool, model}
	if !b.remembers(key) {
		return
	}
	if b.isUneven(e.Pool, now) {
		b.recordUnevenEventTime(e, key, ms, now)
	}
	b.models[key] = b.models[key].WithInterEvent(ms)
}

// LatencyModel returns the current latency model of the pool's servers with the model.
func (b *Balancer) LatencyModel(pool, model string) LatencyModel {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.models[modelKey{pool, model}]
}
