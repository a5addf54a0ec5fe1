package placement

import (
	"sync"
	"sync/atomic"
)

// Counters holds this daemon's requests under way at each backend server. It
// is safe for concurrent use.
type Counters struct {
	counts sync.Map // Key to *atomic.Int64
}

// NewCounters returns counters that are all zero.
func NewCounters() *Counters { return &Counters{} }

func (c *Counters) counter(k Key) *atomic.Int64 {
	if found, ok := c.counts.Load(k); ok {
		return found.(*atomic.Int64)
	}
	made, _ := c.counts.LoadOrStore(k, &atomic.Int64{})
	return made.(*atomic.Int64)
}

// Get returns the requests under way at the server.
func (c *Counters) Get(k Key) int { return int(c.counter(k).Load()) }

// TryAdd counts one more request at the server unless that makes it more than limit.
func (c *Counters) TryAdd(k Key, limit int) bool {
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
func (c *Counters) Done(k Key) { c.counter(k).Add(-1) }

// All returns the counts that are not zero.
func (c *Counters) All() map[Key]int {
	all := make(map[Key]int)
	c.counts.Range(func(k, v any) bool {
		if n := v.(*atomic.Int64).Load(); n > 0 {
			all[k.(Key)] = int(n)
		}
		return true
	})
	return all
}
