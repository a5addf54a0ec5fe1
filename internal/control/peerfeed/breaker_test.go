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

// TestBreakerProbes steps through an outage on a clock moved by hand: while the store
// fails, one call of all tables goes through at a time.
func TestBreakerProbes(t *testing.T) {
	c := clock.NewManual(100_000)
	b := newBreaker(c)
	may := func() bool { wait, _ := b.try(); return wait <= 0 }
	assert.Assert(t, may(), "calm")
	assert.Assert(t, may(), "calm, other table")
	b.leave(false)
	assert.Assert(t, !may(), "right after a failure")
	c.Advance(firstProbe)
	assert.Assert(t, may(), "the first probe")
	assert.Assert(t, !may(), "another table waits for it")
	for range 6 {
		b.leave(false)
		c.Advance(longestProbe)
		assert.Assert(t, may(), "never more than the longest pause")
	}
	b.leave(true)
	assert.Assert(t, may(), "the store is back")
	assert.Assert(t, may(), "for all tables")
}

// TestBreakerLetsAllGoOn has two tables wait while a third one's probe succeeds.
func TestBreakerLetsAllGoOn(t *testing.T) {
	b := newBreaker(clock.NewSystem())
	b.leave(false)
	assert.NilError(t, b.enter(t.Context()), "the probe")
	var gone atomic.Int32
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() {
			if b.enter(t.Context()) == nil {
				gone.Add(1)
			}
		})
	}
	b.leave(true)
	all.Wait()
	assert.Equal(t, gone.Load(), int32(2))
}

// TestBreakerEndsWithItsCaller doesn't hold a caller whose time is over.
func TestBreakerEndsWithItsCaller(t *testing.T) {
	b := newBreaker(clock.NewSystem())
	for range 5 {
		b.leave(false)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, b.enter(ctx), "unavailable")
}
