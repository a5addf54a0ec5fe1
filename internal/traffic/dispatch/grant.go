package dispatch

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Grant is the right to have one request under way at a backend server.
type Grant struct {
	Key     placement.ServerKey
	Address string

	dispatcher *Dispatcher
	began      clock.Millis
	once       sync.Once
}

// Release gives the place back and wakes the next waiter. It may be called again.
func (g *Grant) Release() {
	g.once.Do(func() {
		d := g.dispatcher
		d.counters.Done(g.Key)
		queue := d.queue(g.Key.Pool)
		queue.RecordServiceTime(d.clock.Now() - g.began)
		queue.WakeNext()
	})
}
