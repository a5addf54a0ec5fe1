package demand

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that was frozen, or had no requests of an account for long, and
// then starts all that it didn't start meanwhile.
func TestSavedCreditIsBounded(t *testing.T) {
	var p pace
	p.bind(4, 0.5, 1, 0, 1_000)
	assert.Equal(t, p.used(4, 1_100), 4-100*2/(0.5*float64(window)))
	_ = p.used(4, 60_000)
	assert.Equal(t, p.credit, maxSaved*2)
	p.spend(maxSaved*2+1, 60_000)
	assert.Assert(t, p.used(4, 60_000) > 4)
	assert.Assert(t, p.used(4, 60_001) < 4)
}

// Guards against a long request that keeps an account from everything for minutes.
func TestDebtIsBounded(t *testing.T) {
	var p pace
	p.bind(4, 0.5, 1, 0, 1_000)
	for range 100 {
		p.spend(100, 1_000)
	}
	assert.Equal(t, p.credit, -maxOwed*2)
	p.spend(5_000, 1_000)
	assert.Equal(t, p.credit, -5_000.0)
	p.spend(-4_000, 1_000)
	assert.Equal(t, p.credit, -1_000.0, "the request ended early")
}
