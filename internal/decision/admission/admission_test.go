package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestGateHoldsAccountsToTheirShares fills a gate with one greedy account.
func TestGateHoldsAccountsToTheirShares(t *testing.T) {
	g := NewLimiter(8)
	assert.Equal(t, g.Acquire("small", 1, 0), Admitted)
	g.Release("small")
	for range 6 {
		assert.Equal(t, g.Acquire("greedy", 1, 0), Admitted)
	}
	assert.Equal(t, g.Acquire("greedy", 1, 0), OverShare)
	assert.Equal(t, g.Acquire("small", 1, 0), Admitted)
	assert.Equal(t, g.Acquire("small", 1, 0), Admitted)
	assert.Equal(t, g.Acquire("small", 1, 0), LimitReached)
}

// TestRetriesAreBounded spends the budget and earns one retry back.
func TestRetriesAreBounded(t *testing.T) {
	b := NewRetryBudget(10)
	for range retryBurst {
		assert.Assert(t, b.TryAcquire())
	}
	assert.Assert(t, !b.TryAcquire())
	for range 11 {
		b.RecordFirstAttempt()
	}
	assert.Assert(t, b.TryAcquire())
	assert.Assert(t, !b.TryAcquire())
}

// TestQueueOrder wakes by priority, then by who has had the least.
func TestQueueOrder(t *testing.T) {
	q := NewQueue()
	batch := q.Enqueue("greedy", 1, 5)
	first := q.Enqueue("greedy", 1, 0)
	second := q.Enqueue("small", 1, 0)
	wakes := func(w *Waiter) bool {
		q.WakeNext()
		select {
		case <-w.Wake:
			q.Remove(w, true)
			return true
		default:
			return false
		}
	}
	assert.Assert(t, wakes(first))
	assert.Assert(t, wakes(second))
	assert.Assert(t, wakes(batch))
}

// TestExpectedWaitIsByAccount lets an account under its share see little of the
// queue that another account fills.
func TestExpectedWaitIsByAccount(t *testing.T) {
	q := NewQueue()
	q.RecordServiceTime(100)
	for range 20 {
		q.Enqueue("greedy", 1, 0)
	}
	assert.Equal(t, q.ExpectedWait("greedy", 1, 0, 2), clock.Millis(1050))
	assert.Equal(t, q.ExpectedWait("small", 1, 0, 2), clock.Millis(100))
	assert.Equal(t, q.ExpectedWait("batch", 1, 5, 2), clock.Millis(1050))
}
