package bearing

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// bucket admits calls at a rate, one at a time.
type bucket struct {
	tokens float64
	filled clock.Millis
}

// take uses up one token if there is one. A bucket that was never used is empty,
// so that a restarted daemon doesn't repeat what its last incarnation sent.
func (b *bucket) take(perSecond float64, now clock.Millis) bool {
	if !b.ready(perSecond, now) {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) ready(perSecond float64, now clock.Millis) bool {
	if b.filled == 0 {
		b.filled = now
	}
	b.tokens = min(b.tokens+perSecond*float64(now-b.filled)/1000, 1)
	b.filled = now
	return b.tokens >= 1
}
