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

// Guards against paced accounts that keep the servers' queues full.
func TestRelief(t *testing.T) {
	assert.Equal(t, relief(15, 15), 1.0)
	assert.Equal(t, relief(30, 15), 0.5)
	assert.Equal(t, relief(45, 15), 0.0)
}

// Guards against a flood that isn't seen until its rate over seconds has risen.
func TestRisenAccountWantsWhatItSends(t *testing.T) {
	assert.Equal(t, AccountUsage{Used: 100, Arrived: 100, Recent: 200}.wanted(), 0.1)
	assert.Equal(t, AccountUsage{Used: 100, Arrived: 100, Recent: 300}.wanted(), 0.3)
}
