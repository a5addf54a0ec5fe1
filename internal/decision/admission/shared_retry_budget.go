package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// SharedRetryBudget limits how many additional attempts all daemons together make
// for the requests of a pool: ratio x requests + allowance in each time window.
// Each daemon applies the ratio to its own requests and gets an equal share of
// the allowance, so the daemons need not communicate. Safe for concurrent use.
type SharedRetryBudget struct {
	mu        sync.Mutex
	ratio     float64
	allowance float64
	window    clock.Millis
	pools     map[string]*slidingWindow
	hosts     int
	// allowanceFrom is the time from which on the allowance applies.
	allowanceFrom clock.Millis
}

// slidingWindow counts requests and retries in slices of time. It has one slice more
// than the window is long, since the oldest slice is only partly inside the window.
type slidingWindow struct {
	slices [slicesPerWindow + 1]windowSlice
}

type windowSlice struct {
	startedAt clock.Millis
	requests  int
	retries   int
	seconds   int // retries in place of an attempt that still ran
}

const slicesPerWindow = 10

// usableFraction is the fraction of the budget that is used. The rest is a margin: the
// backend servers count in windows that start at other instants, and an attempt may
// arrive later than it was sent.
const usableFraction = 0.93

// NewSharedRetryBudget returns the budget of the only daemon; see SetHostCount.
func NewSharedRetryBudget(ratio, allowance float64, window clock.Millis) *SharedRetryBudget {
	return &SharedRetryBudget{ratio: ratio, allowance: allowance, window: window, pools: make(map[string]*slidingWindow), hosts: 1}
}

// SetLimits replaces the ratio and the allowance.
func (b *SharedRetryBudget) SetLimits(ratio, allowance float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.allowance = ratio, allowance
}

// StartAt sets the time at which this daemon started. It gets no part of the allowance for
// the length of a window, since its former incarnation may have used that part.
func (b *SharedRetryBudget) StartAt(startedAt clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowanceFrom = startedAt + b.window
}

// SetHostCount sets the number of daemons that share the allowance.
func (b *SharedRetryBudget) SetHostCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

// RecordRequest counts a request, with its first attempt.
func (b *SharedRetryBudget) RecordRequest(pool string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now).requests++
}

// TryAcquire takes one retry from the budget. It returns false if none is left.
func (b *SharedRetryBudget) TryAcquire(pool string, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slice(pool, now)
	retries, allowed := b.count(pool, now)
	if retries+1 > allowed {
		return false
	}
	current.retries++
	return true
}

// reservedFraction is the fraction of the budget that only retries after failures may
// use.
const reservedFraction = 0.12

// AllowsOptional reports whether an attempt that is not required, such as an
// escalation, leaves the reserve for retries after failures. It takes nothing from
// the budget.
func (b *SharedRetryBudget) AllowsOptional(pool string, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now)
	retries, allowed := b.count(pool, now)
	return retries+1 <= allowed*(1-reservedFraction)
}

// AllowsSecondAttempt reports whether an attempt in place of one that still runs leaves the
// reserve for retries after failures, and keeps such attempts within the part of the budget.
// The other retries, such as escalations, may use the rest. One attempt in a window is allowed
// in any case: a daemon with few requests has too small a part. It takes nothing from the budget.
//
// Load pattern: requests queue at every server, and second attempts for them would use up what
// escalations need once the pool has free capacity again.
func (b *SharedRetryBudget) AllowsSecondAttempt(pool string, part float64, now clock.Millis) bool {
	if !b.AllowsOptional(pool, now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, allowed := b.count(pool, now)
	seconds := 0
	for _, s := range b.pools[pool].slices {
		if now-s.startedAt < b.window+b.sliceLength() {
			seconds += s.seconds
		}
	}
	return float64(seconds+1) <= max(part*allowed, 1)
}

// RecordSecondAttempt counts a retry, which TryAcquire also counts, as a second attempt.
func (b *SharedRetryBudget) RecordSecondAttempt(pool string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now).seconds++
}

// count returns the retries in the window and how many are allowed. The caller must
// hold mu.
func (b *SharedRetryBudget) count(pool string, now clock.Millis) (retries, allowed float64) {
	requests := 0.0
	length := b.sliceLength()
	for _, s := range b.pools[pool].slices {
		// Retries of a slice that is partly outside the window still count.
		if now-s.startedAt < b.window+length {
			retries += float64(s.retries)
		}
		if now-s.startedAt < b.window {
			requests += float64(s.requests)
		}
	}
	allowance := b.allowance
	if now < b.allowanceFrom {
		allowance = 0
	}
	return retries, usableFraction * (b.ratio*requests + allowance/float64(b.hosts))
}

func (b *SharedRetryBudget) sliceLength() clock.Millis { return max(b.window/slicesPerWindow, 1) }

// slice returns the current slice, cleared if it held an older period. The caller
// must hold mu.
func (b *SharedRetryBudget) slice(pool string, now clock.Millis) *windowSlice {
	w, ok := b.pools[pool]
	if !ok {
		w = &slidingWindow{}
		b.pools[pool] = w
	}
	length := b.sliceLength()
	startedAt := now - now%length
	s := &w.slices[(now/length)%(slicesPerWindow+1)]
	if s.startedAt != startedAt {
		*s = windowSlice{startedAt: startedAt}
	}
	return s
}
