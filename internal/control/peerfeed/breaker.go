package peerfeed

import (
	"context"
	"math/rand/v2"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// The pause between two probes of a store that fails doubles between these. All
	// calls are paid for, also refused ones, and what changed in an outage must be in
	// force within about two seconds of its end.
	firstProbe   = 100 * clock.Millis(1)
	longestProbe = 900 * clock.Millis(1)
	// probeSpread is the part of the pause that varies, so that the daemons' probes
	// don't come together.
	probeSpread = 0.3
)

// breaker lets one call at a time through to a store that fails, for all tables.
// It is safe for concurrent use.
type breaker struct {
	clock   clock.Clock
	mu      sync.Mutex
	failing bool
	pause   clock.Millis
	next    clock.Millis  // when the next probe may be made
	turned  chan struct{} // closed when a probe has ended
}

func newBreaker(c clock.Clock) *breaker { return &breaker{clock: c, turned: make(chan struct{})} }

// enter waits until a call may be made.
func (b *breaker) enter(ctx context.Context) error {
	for {
		wait, turned := b.try()
		if wait <= 0 {
			return nil
		}
		limit, cancel := context.WithTimeout(ctx, wait.Duration())
		select {
		case <-turned:
		case <-limit.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return rowstore.ErrUnavailable
		}
	}
}

// try returns how long to wait for the next probe; 0 means that the call may be made.
func (b *breaker) try() (clock.Millis, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if !b.failing {
		return 0, b.turned
	}
	if now < b.next {
		return b.next - now, b.turned
	}
	b.next = now + longestProbe // the others wait for this probe
	return 0, b.turned
}

// leave takes in whether a call was answered.
func (b *breaker) leave(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = !answered
	if answered {
		b.pause = 0
	} else {
		b.pause = min(max(2*b.pause, firstProbe), longestProbe)
		b.next = b.clock.Now() + b.pause - clock.Millis(rand.Float64()*probeSpread*float64(b.pause))
	}
	close(b.turned)
	b.turned = make(chan struct{})
}
