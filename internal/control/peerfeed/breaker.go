package peerfeed

import (
	"context"
	"math/rand/v2"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// The interval between probes of a failing store doubles from the minimum to the
	// maximum. The store bills every call, even a rejected one, and changes made
	// during an outage must be applied soon after its end. The maximum is a share of the
	// time that is left after reregistrationTimeout, as it bounds how well the time of the
	// store's return is known.
	minProbeInterval  = 100 * clock.Millis(1)
	maxProbeInterval  = 1_200 * clock.Millis(1)
	probeIntervalPart = 2
	// reregistrationTimeout is the time within which a live server registers again after
	// the store's return.
	reregistrationTimeout = 2_000 * clock.Millis(1)
	// probeJitter is the fraction of the interval by which it is shortened at random,
	// so that the daemons do not probe at the same time.
	probeJitter = 0.3
	// answerTimeout is how long a call may take beyond its wait for changes.
	answerTimeout = 600 * clock.Millis(1)
)

// breaker is a circuit breaker for the store, shared by all tables. While the store
// fails, it admits one call at a time as a probe. Safe for concurrent use.
type breaker struct {
	clock         clock.Clock
	maxInterval   clock.Millis // between the starts of probes
	mu            sync.Mutex   // guards the fields below
	failing       bool
	probeInterval clock.Millis
	nextProbe     clock.Millis  // earliest time of the next probe
	failedAt      clock.Millis  // when the last failed call began; 0: none failed
	callDone      chan struct{} // closed and replaced when a call has ended
}

// newBreaker returns the breaker of a store after whose return changes must again be
// applied in time once recovery is over.
func newBreaker(c clock.Clock, recovery clock.Millis) *breaker {
	maxInterval := min(max((recovery-reregistrationTimeout)/probeIntervalPart, minProbeInterval), maxProbeInterval)
	return &breaker{clock: c, maxInterval: maxInterval, callDone: make(chan struct{})}
}

// acquire blocks until a call may be made. Returns rowstore.ErrUnavailable if ctx is
// done first, or if it would leave less than answerTimeout for the call: a probe that is
// cut short says nothing about the store.
func (b *breaker) acquire(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerTimeout.Duration()))
		defer cancel()
	}
	for {
		wait, callDone := b.tryAcquire()
		if wait <= 0 {
			return nil
		}
		waitCtx, cancel := context.WithTimeout(ctx, wait.Duration())
		select {
		case <-callDone:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return rowstore.ErrUnavailable
		}
	}
}

// tryAcquire returns 0 if the call may be made, else the time until the next probe
// and a channel that is closed when a call has ended.
func (b *breaker) tryAcquire() (clock.Millis, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if !b.failing {
		return 0, b.callDone
	}
	if now < b.nextProbe {
		return b.nextProbe - now, b.callDone
	}
	b.nextProbe = now + answerTimeout // other calls wait for the result of this probe
	return 0, b.callDone
}

// release records whether the store answered a call that began at startedAt, and wakes
// all waiting calls.
func (b *breaker) release(answered bool, startedAt clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = !answered
	if answered {
		b.probeInterval = 0
	} else {
		b.probeInterval = min(max(2*b.probeInterval, minProbeInterval), b.maxInterval)
		b.nextProbe = startedAt + b.probeInterval - clock.Millis(rand.Float64()*probeJitter*float64(b.probeInterval))
		b.failedAt = max(b.failedAt, startedAt)
	}
	close(b.callDone)
	b.callDone = make(chan struct{})
}

// lastFailure returns when the last failed call began; 0: none failed.
func (b *breaker) lastFailure() clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedAt
}
