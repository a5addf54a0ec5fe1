package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// tokenBucket is a token bucket rate limiter. The zero value is an empty bucket, so a
// restarted daemon doesn't repeat the burst of its previous incarnation.
type tokenBucket struct {
	tokens   float64
	filledAt clock.Millis
}

// rateLimit is the rate at which this daemon may send requests to a server.
type rateLimit struct {
	perSecond float64
	burst     float64
}

// take consumes a token and returns false if there is none.
func (b *tokenBucket) take(l rateLimit, now clock.Millis) bool {
	if !b.ready(l, now) {
		return false
	}
	b.tokens--
	return true
}

// giveBack returns a token that was not used. The next take discards it if the bucket is
// full.
func (b *tokenBucket) giveBack() { b.tokens++ }

// ready refills the bucket and reports whether it holds a token.
func (b *tokenBucket) ready(l rateLimit, now clock.Millis) bool {
	if b.filledAt == 0 {
		b.filledAt = now
	}
	b.tokens = min(b.tokens+l.perSecond*float64(now-b.filledAt)/1000, l.burst)
	b.filledAt = now
	return b.tokens >= 1
}
