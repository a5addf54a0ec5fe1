package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// bucket admits calls at a rate, a few at a time.
type bucket struct {
	tokens float64
	filled clock.Millis
}

// part is what a daemon may send to a cold server.
type part struct {
	perSecond float64
	atOnce    float64
}

// take uses up one token if there is one. A bucket that was never used is empty,
// so that a restarted daemon doesn't repeat what its last incarnation sent.
func (b *bucket) take(p part, now clock.Millis) bool {
	if !b.ready(p, now) {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) ready(p part, now clock.Millis) bool {
	if b.filled == 0 {
		b.filled = now
	}
	b.tokens = min(b.tokens+p.perSecond*float64(now-b.filled)/1000, p.atOnce)
	b.filled = now
	return b.tokens >= 1
}
