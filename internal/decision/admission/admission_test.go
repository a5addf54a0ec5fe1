package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestLimiterShares checks that an account which uses its whole share is rejected
// near the limit, so that it can't keep out the other accounts.
func TestLimiterShares(t *testing.T) {
	l := NewLimiter(8)
	assert.Equal(t, l.Acquire("small", 1, 0), Admitted)
	l.Release("small")
	for range 6 {
		assert.Equal(t, l.Acquire("greedy", 1, 0), Admitted)
	}
	assert.Equal(t, l.Acquire("greedy", 1, 0), OverShare)
	assert.Equal(t, l.Acquire("small", 1, 0), Admitted)
	assert.Equal(t, l.Acquire("small", 1, 0), Admitted)
	assert.Equal(t, l.Acquire("small", 1, 0), LimitReached)
}

// TestRetryBudget empties the budget and checks that first attempts refill it only
// at the configured percentage.
func TestRetryBudget(t *testing.T) {
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

// TestQueueOrder checks that waiters are woken by priority and, within a priority,
// that an account which was served less comes first.
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

// TestExpectedWaitByAccount checks that a long queue of one account does not raise
// the expected wait of another one that is under its share.
func TestExpectedWaitByAccount(t *testing.T) {
	q := NewQueue()
	q.RecordServiceTime(100)
	for range 20 {
		q.Enqueue("greedy", 1, 0)
	}
	assert.Equal(t, q.ExpectedWait("greedy", 1, 0, 2), clock.Millis(1050))
	assert.Equal(t, q.ExpectedWait("small", 1, 0, 2), clock.Millis(100))
	assert.Equal(t, q.ExpectedWait("batch", 1, 5, 2), clock.Millis(1050))
}
