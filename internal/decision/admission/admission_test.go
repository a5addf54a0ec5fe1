package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestGateHoldsAccountsToTheirShares fills a gate with one greedy account.
func TestGateHoldsAccountsToTheirShares(t *testing.T) {
	g := NewGate(8)
	assert.Equal(t, g.Enter("small", 1, 0), Admitted)
	g.Leave("small")
	for range 6 {
		assert.Equal(t, g.Enter("greedy", 1, 0), Admitted)
	}
	assert.Equal(t, g.Enter("greedy", 1, 0), OverShare)
	assert.Equal(t, g.Enter("small", 1, 0), Admitted)
	assert.Equal(t, g.Enter("small", 1, 0), Admitted)
	assert.Equal(t, g.Enter("small", 1, 0), Full)
}

// TestRetriesAreBounded spends the budget and earns one retry back.
func TestRetriesAreBounded(t *testing.T) {
	b := NewRetryBudget(10)
	for range retryBurst {
		assert.Assert(t, b.Take())
	}
	assert.Assert(t, !b.Take())
	for range 11 {
		b.FirstAttempt()
	}
	assert.Assert(t, b.Take())
	assert.Assert(t, !b.Take())
}

// TestQueueOrder wakes by priority, then by who has had the least.
func TestQueueOrder(t *testing.T) {
	q := NewQueue()
	batch := q.Join("greedy", 1, 5)
	first := q.Join("greedy", 1, 0)
	second := q.Join("small", 1, 0)
	wakes := func(w *Waiter) bool {
		q.WakeNext()
		select {
		case <-w.Wake:
			q.Leave(w, true)
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
	q.NoteService(100)
	for range 20 {
		q.Join("greedy", 1, 0)
	}
	assert.Equal(t, q.ExpectedWait("greedy", 1, 0, 2), clock.Millis(1050))
	assert.Equal(t, q.ExpectedWait("small", 1, 0, 2), clock.Millis(100))
	assert.Equal(t, q.ExpectedWait("batch", 1, 5, 2), clock.Millis(1050))
}
