// Package admission decides whether a request gets in, waits or is refused.
package admission

import "sync"

// RetryBudget lets retries be at most a share of first attempts, so that
// failing back ends don't see more load than healthy ones.
type RetryBudget struct {
	mu      sync.Mutex
	percent float64
	burst   float64
	tokens  float64
}

// retryBurst is how many retries an idle daemon may make at once.
const retryBurst = 10

// NewRetryBudget returns a full budget.
func NewRetryBudget(percent int64) *RetryBudget {
	return &RetryBudget{percent: float64(percent), burst: retryBurst, tokens: retryBurst}
}

// RecordFirstAttempt adds the share that a first attempt earns.
func (b *RetryBudget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.percent/100, b.burst)
}

// TryAcquire uses up one retry; false means that the budget is spent.
func (b *RetryBudget) TryAcquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
