package bearing

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// paceKey is what has a pace of its own.
type paceKey struct {
	pool  string
	model string
}

// NoteFirst takes in how long the head of an answer took.
func (b *Book) NoteFirst(c *Choice, model string, first, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := paceKey{c.Server.Pool, model}
	pace := b.paces[key]
	if pace.weight >= leastWeight {
		// Before, the first servers to answer would seem faster than all others.
		b.state(&c.Server).noteSlow(first, pace.First(c.Unread), now)
	}
	b.paces[key] = pace.WithFirst(c.Unread, first)
}

// NoteGap takes in the mean pause between events of a stream.
func (b *Book) NoteGap(pool, model string, ms float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := paceKey{pool, model}
	b.paces[key] = b.paces[key].WithGap(ms)
}

// Pace returns the pace of the pool's servers with the model.
func (b *Book) Pace(pool, model string) Pace {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paces[paceKey{pool, model}]
}
