package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// SharedRetryBudget bounds how often all daemons together send requests of a pool to
// a second server. Each daemon keeps to its part: a ratio of its own requests
// and an equal part of the fixed allowance, so no message is needed.
type SharedRetryBudget struct {
	mu      sync.Mutex
	ratio   float64
	slack   float64
	window  clock.Millis
	pools   map[string]*repeatCount
	divisor int
}

// repeatCount counts requests and repeats in slices of the window.
type repeatCount struct {
	slices [repeatSlices + 1]repeatSlice
}

type repeatSlice struct {
	began    clock.Millis
	requests int
	repeats  int
}

// repeatSlices is how finely the window slides.
const repeatSlices = 10

// repeatShare of the allowance is used, since the servers' windows don't begin
// with ours and a call may arrive later than it was sent.
const repeatShare = 0.93

// NewSharedRetryBudget returns a budget of ratio x requests + slack in each window.
func NewSharedRetryBudget(ratio, slack float64, window clock.Millis) *SharedRetryBudget {
	return &SharedRetryBudget{ratio: ratio, slack: slack, window: window, pools: make(map[string]*repeatCount), divisor: 1}
}

// SetLimits replaces the ratio and the fixed allowance.
func (b *SharedRetryBudget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// SetHostCount tells among how many daemons the fixed allowance is divided.
func (b *SharedRetryBudget) SetHostCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.divisor = max(n, 1)
}

// RecordRequest counts the first sending of a request.
func (b *SharedRetryBudget) RecordRequest(pool string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now).requests++
}

// TryAcquire counts a repeat and tells whether the budget has room for it.
func (b *SharedRetryBudget) TryAcquire(pool string, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slice(pool, now)
	repeats, allowed := b.count(pool, now)
	if repeats+1 > allowed {
		return false
	}
	current.repeats++
	return true
}

// reserved is the share of the budget that is left for repeats after failures.
const reserved = 0.12

// AllowsOptional tells whether a repeat that could be done without leaves enough for
// those after failures.
func (b *SharedRetryBudget) AllowsOptional(pool string, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now)
	repeats, allowed := b.count(pool, now)
	return repeats+1 <= allowed*(1-reserved)
}

// count returns the repeats in the window and how many are allowed.
func (b *SharedRetryBudget) count(pool string, now clock.Millis) (repeats, allowed float64) {
	requests := 0.0
	length := b.sliceLength()
	for _, s := range b.pools[pool].slices {
		// A slice that has left the window in part still counts for its repeats.
		if now-s.began < b.window+length {
			repeats += float64(s.repeats)
		}
		if now-s.began < b.window {
			requests += float64(s.requests)
		}
	}
	return repeats, repeatShare * (b.ratio*requests + b.slack/float64(b.divisor))
}

func (b *SharedRetryBudget) sliceLength() clock.Millis { return max(b.window/repeatSlices, 1) }

func (b *SharedRetryBudget) slice(pool string, now clock.Millis) *repeatSlice {
	c, ok := b.pools[pool]
	if !ok {
		c = &repeatCount{}
		b.pools[pool] = c
	}
	length := b.sliceLength()
	began := now - now%length
	s := &c.slices[(now/length)%(repeatSlices+1)]
	if s.began != began {
		*s = repeatSlice{began: began}
	}
	return s
}
