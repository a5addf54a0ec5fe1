package placement

import (
	"sync"
	"sync/atomic"
)

// InFlightCounters counts this daemon's in-flight requests per backend server. Safe
// for concurrent use.
type InFlightCounters struct {
	counts sync.Map // ServerKey to *atomic.Int64
}

// NewInFlightCounters returns counters that are zero for every server.
func NewInFlightCounters() *InFlightCounters { return &InFlightCounters{} }

func (c *InFlightCounters) counter(k ServerKey) *atomic.Int64 {
	if found, ok := c.counts.Load(k); ok {
		return found.(*atomic.Int64)
	}
	added, _ := c.counts.LoadOrStore(k, &atomic.Int64{})
	return added.(*atomic.Int64)
}

// Get returns the in-flight requests of the server.
func (c *InFlightCounters) Get(k ServerKey) int { return int(c.counter(k).Load()) }

// TryAdd adds one request, unless the server already has limit or more in flight.
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

// Done removes a request that was added with TryAdd.
func (c *InFlightCounters) Done(k ServerKey) { c.counter(k).Add(-1) }

// All returns the counts above zero.
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
