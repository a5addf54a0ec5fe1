// Package admission limits in-flight requests, queues those that wait for a
// backend server and bounds retries. Limiter, Queue and RetryBudget serve program/daemon;
// SharedRetryBudget serves program/entry.
package admission

import "sync"

// RetryBudget limits retries to a percentage of first attempts, so that retries
// don't overload backend servers that fail. It is a token bucket, full at the
// start. Safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	percent float64
	burst   float64
	tokens  float64
}

// retryBurst is the capacity of the bucket, in retries.
const retryBurst = 10

// NewRetryBudget returns a budget of the given percentage of first attempts.
func NewRetryBudget(percent int64) *RetryBudget {
	return &RetryBudget{percent: float64(percent), burst: retryBurst, tokens: retryBurst}
}

// RecordFirstAttempt adds the fraction of a retry that a first attempt allows.
func (b *RetryBudget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.percent/100, b.burst)
}

// TryAcquire takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) TryAcquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
