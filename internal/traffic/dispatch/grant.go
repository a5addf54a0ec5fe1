package dispatch

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Grant is a reserved slot for one request at a backend server.
type Grant struct {
	Key     placement.ServerKey
	Address string

	dispatcher  *Dispatcher
	acquiredAt  clock.Millis
	releaseOnce sync.Once
}

// Release frees the slot and wakes the next queued request. Calls after the first
// have no effect.
func (g *Grant) Release() {
	g.releaseOnce.Do(func() {
		d := g.dispatcher
		d.counters.Done(g.Key)
		queue := d.queue(g.Key.Pool)
		queue.RecordServiceTime(d.clock.Now() - g.acquiredAt)
		queue.WakeNext()
	})
}
