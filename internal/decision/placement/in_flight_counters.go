package placement

import (
	"sync"
	"sync/atomic"
)

// InFlightCounters holds this daemon's requests under way at each backend server. It
// is safe for concurrent use.
type InFlightCounters struct {
	counts sync.Map // Key to *atomic.Int64
}

// NewInFlightCounters returns counters that are all zero.
func NewInFlightCounters() *InFlightCounters { return &InFlightCounters{} }

func (c *InFlightCounters) counter(k ServerKey) *atomic.Int64 {
	if found, ok := c.counts.Load(k); ok {
		return found.(*atomic.Int64)
	}
	made, _ := c.counts.LoadOrStore(k, &atomic.Int64{})
	return made.(*atomic.Int64)
}

// Get returns the requests under way at the server.
func (c *InFlightCounters) Get(k ServerKey) int { return int(c.counter(k).Load()) }

// TryAdd counts one more request at the server unless that makes it more than limit.
func (c *InFlightCounters) TryAdd(k ServerKey, limit int) bool {
	counter := c.counter(k)
	for {
		n := counter.Load()
		if n >= int64(limit) {
			return false
		}
		if counter.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Done counts one request less at the server.
func (c *InFlightCounters) Done(k ServerKey) { c.counter(k).Add(-1) }

// All returns the counts that are not zero.
func (c *InFlightCounters) All() map[ServerKey]int {
	all := make(map[ServerKey]int)
	c.counts.Range(func(k, v any) bool {
		if n := v.(*atomic.Int64).Load(); n > 0 {
			all[k.(ServerKey)] = int(n)
		}
		return true
	})
	return all
}
