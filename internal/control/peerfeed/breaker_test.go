package peerfeed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestBreakerProbes checks that while the store fails, the breaker admits one call at a
// time across all tables, and all calls once the store answers again.
func TestBreakerProbes(t *testing.T) {
	c := clock.NewManual(100_000)
	b := newBreaker(c, recovery)
	admitted := func() bool { wait, _ := b.tryAcquire(); return wait <= 0 }
	assert.Assert(t, admitted(), "store available")
	assert.Assert(t, admitted(), "store available, other table")
	b.release(false, b.clock.Now())
	assert.Assert(t, !admitted(), "right after a failure")
	c.Advance(minProbeInterval)
	assert.Assert(t, admitted(), "the first probe")
	assert.Assert(t, !admitted(), "other tables wait for the probe")
	for range 6 {
		b.release(false, b.clock.Now())
		c.Advance(500)
		assert.Assert(t, admitted(), "the interval never exceeds the maximum")
	}
	b.release(true, b.clock.Now())
	assert.Assert(t, admitted(), "store available again")
	assert.Assert(t, admitted(), "store available again, other table")
}

// TestBreakerWakesWaitingCalls checks that calls for two tables continue when the probe
// of a third table succeeds.
func TestBreakerWakesWaitingCalls(t *testing.T) {
	b := newBreaker(clock.NewSystem(), recovery)
	b.release(false, b.clock.Now())
	assert.NilError(t, b.acquire(t.Context()), "the probe")
	var admitted atomic.Int32
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			if b.acquire(t.Context()) == nil {
				admitted.Add(1)
			}
		})
	}
	b.release(true, b.clock.Now())
	calls.Wait()
	assert.Equal(t, admitted.Load(), int32(2))
}

// TestBreakerRespectsContext checks that a waiting call returns when its context ends.
func TestBreakerRespectsContext(t *testing.T) {
	b := newBreaker(clock.NewSystem(), recovery)
	for range 5 {
		b.release(false, b.clock.Now())
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, b.acquire(ctx), "unavailable")
}

// TestProbesFollowRecovery checks that a store that fails for 10 s is called no more often
// than the time in which changes must be applied again requires.
func TestProbesFollowRecovery(t *testing.T) {
	for recovery, most := range map[clock.Millis]int{3_000: 32, 4_000: 18, 5_000: 16} {
		c := clock.NewManual(100_000)
		b := newBreaker(c, recovery)
		b.release(false, c.Now())
		probes := 0
		for ; c.Now() < 110_000; c.Advance(10) {
			if wait, _ := b.tryAcquire(); wait <= 0 {
				probes++
				b.release(false, c.Now())
			}
		}
		assert.Assert(t, probes <= most && probes >= most/2, "%d probes in 10 s for a recovery of %d ms", probes, recovery)
	}
}
