package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// RepeatBudget bounds how often all daemons together send requests of a pool to
// a second server. Each daemon keeps to its part: a ratio of its own requests
// and an equal part of the fixed allowance, so no message is needed.
type RepeatBudget struct {
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

// NewRepeatBudget returns a budget of ratio x requests + slack in each window.
func NewRepeatBudget(ratio, slack float64, window clock.Millis) *RepeatBudget {
	return &RepeatBudget{ratio: ratio, slack: slack, window: window, pools: make(map[string]*repeatCount), divisor: 1}
}

// SetBounds replaces the ratio and the fixed allowance.
func (b *RepeatBudget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// SetHosts tells among how many daemons the fixed allowance is divided.
func (b *RepeatBudget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.divisor = max(n, 1)
}

// Request counts the first sending of a request.
func (b *RepeatBudget) Request(pool string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now).requests++
}

// Take counts a repeat and tells whether the budget has room for it.
func (b *RepeatBudget) Take(pool string, now clock.Millis) bool {
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

// HasRoom tells whether a repeat that could be done without leaves enough for
// those after failures.
func (b *RepeatBudget) HasRoom(pool string, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now)
	repeats, allowed := b.count(pool, now)
	return repeats+1 <= allowed*(1-reserved)
}

// count returns the repeats in the window and how many are allowed.
func (b *RepeatBudget) count(pool string, now clock.Millis) (repeats, allowed float64) {
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

func (b *RepeatBudget) sliceLength() clock.Millis { return max(b.window/repeatSlices, 1) }

func (b *RepeatBudget) slice(pool string, now clock.Millis) *repeatSlice {
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
