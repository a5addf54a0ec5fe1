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
	countsEarlier func(pool string, now clock.Millis) bool // see SetCountsEarlier; nil for none
}

// slidingWindow counts requests and retries in slices of time. It holds two windows and one
// slice more, since the oldest slice is only partly inside.
type slidingWindow struct {
	slices [keptSlices]windowSlice
}

type windowSlice struct {
	startedAt clock.Millis
	requests  int
	retries   int
	seconds   int // retries in place of an attempt that still ran
}

const (
	slicesPerWindow = 20
	keptSlices      = 2*slicesPerWindow + 1
)

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

// SetCountsEarlier sets for which pools the requests of earlier windows count. In each of its
// windows, a backend server allows retries for the requests of that window, of the one before it or
// of the one half a window before it, whichever has most.
//
// Load pattern: a crowd leaves, and its last requests still need a second attempt or an
// escalation while few new ones arrive.
func (b *SharedRetryBudget) SetCountsEarlier(counts func(pool string, now clock.Millis) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsEarlier = counts
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
	if !b.allows(pool, 1, now) {
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
	return b.AllowsUrgent(pool, 0, now)
}

// AllowsUrgent is AllowsOptional for an attempt that may use the fraction of the budget from the
// reserve.
func (b *SharedRetryBudget) AllowsUrgent(pool string, fraction float64, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now)
	return b.allows(pool, 1-reservedFraction+fraction, now)
}

// AllowsSecondAttempt reports whether an attempt in place of one that still runs leaves the
// reserve for retries after failures, and keeps such attempts within the part of the budget.
// The other retries, such as escalations, may use the rest. One attempt in a window is allowed
// in any case: a daemon with few requests has too small a part. It takes nothing from the budget.
//
// Load pattern: requests queue at every server, and second attempts for them would use up what
// escalations need once the pool has free capacity again.
func (b *SharedRetryBudget) AllowsSecondAttempt(pool string, part float64, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now)
	w := b.pools[pool]
	within := part * b.allowed(w.requestsIn(now-b.window+1, now+1), now)
	return b.allows(pool, 1-reservedFraction, now) && float64(w.secondsFrom(b.oldestRetry(now))+1) <= max(within, 1)
}

// RecordSecondAttempt counts a retry, which TryAcquire also counts, as a second attempt.
func (b *SharedRetryBudget) RecordSecondAttempt(pool string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(pool, now).seconds++
}

// oldestRetry returns the time from which on retries count. That is somewhat more than a window:
// the backend servers' windows start at other instants.
func (b *SharedRetryBudget) oldestRetry(now clock.Millis) clock.Millis {
	return now - b.window - b.window/10 + 1
}

// allows reports whether one more retry leaves the rest of the budget beyond the fraction. The
// caller must hold mu.
func (b *SharedRetryBudget) allows(pool string, fraction float64, now clock.Millis) bool {
	w := b.pools[pool]
	if b.countsEarlier != nil && b.countsEarlier(pool, now) {
		return b.allowsByEarlier(w, fraction, now)
	}
	return b.isWithin(w.retriesFrom(b.oldestRetry(now)), w.requestsIn(now-b.window+1, now+1), fraction, now)
}

// allowsByEarlier reports whether one more retry is within the budget of each window that began
// at most a window ago, if no further requests arrive. Of the windows that begin within the same
// slice, none has fewer requests or more retries than are counted.
func (b *SharedRetryBudget) allowsByEarlier(w *slidingWindow, fraction float64, now clock.Millis) bool {
	length := b.sliceLength()
	current := now - now%length
	for from := current - b.window; from <= current; from += length {
		requests := max(
			w.requestsIn(from+length, from+b.window),
			w.requestsIn(from+length-b.window/2, from+b.window/2),
			w.requestsIn(from+length-b.window, from),
		)
		if !b.isWithin(w.retriesFrom(from), requests, fraction, now) {
			return false
		}
	}
	return true
}

// isWithin reports whether one retry more than the given ones is within the fraction of the
// budget for the requests.
func (b *SharedRetryBudget) isWithin(retries, requests int, fraction float64, now clock.Millis) bool {
	return float64(retries+1) <= fraction*b.allowed(requests, now)
}

// allowed returns the number of retries that this daemon may make for the requests.
func (b *SharedRetryBudget) allowed(requests int, now clock.Millis) float64 {
	allowance := b.allowance
	if now < b.allowanceFrom {
		allowance = 0
	}
	return usableFraction * (b.ratio*float64(requests) + allowance/float64(b.hosts))
}

// requestsIn returns the number of requests of slices that began from the one time on and before
// the other.
func (w *slidingWindow) requestsIn(from, before clock.Millis) (n int) {
	for _, s := range w.slices {
		if s.startedAt >= from && s.startedAt < before {
			n += s.requests
		}
	}
	return n
}

// retriesFrom returns the number of retries of slices that began from the time on.
func (w *slidingWindow) retriesFrom(from clock.Millis) (n int) {
	for _, s := range w.slices {
		if s.startedAt >= from {
			n += s.retries
		}
	}
	return n
}

// secondsFrom returns the number of second attempts of slices that began from the time on.
func (w *slidingWindow) secondsFrom(from clock.Millis) (n int) {
	for _, s := range w.slices {
		if s.startedAt >= from {
			n += s.seconds
		}
	}
	return n
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
	s := &w.slices[(now/length)%keptSlices]
	if s.startedAt != startedAt {
		*s = windowSlice{startedAt: startedAt}
	}
	return s
}
