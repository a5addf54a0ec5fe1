package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestStartupHold replays a restart of all daemons: 600 requests arrive in the 600 ms
// after a start that takes 200 ms, some of them with short timeouts. It compares the
// number of rejected requests with and without the hold.
func TestStartupHold(t *testing.T) {
	const startedAt, ready, arrivals = 50_000, 50_200, 600
	timeouts := []clock.Millis{15_000, 12_000, 4_000, 1_000, 0}
	rejected, rejectedAtOnce := 0, 0
	for i := range arrivals {
		receivedAt := clock.Millis(startedAt + i)
		if receivedAt >= ready {
			continue
		}
		rejectedAtOnce++
		if StartupHold(startedAt, receivedAt, timeouts[i%len(timeouts)]) < ready {
			rejected++
		}
	}
	assert.Equal(t, rejectedAtOnce, 200)
	assert.Equal(t, rejected, 0)
}

// TestStartupHoldIsBounded checks that requests are rejected at once when the tables are
// missing for longer than a start takes, and that none waits for most of its timeout.
func TestStartupHoldIsBounded(t *testing.T) {
	assert.Assert(t, StartupHold(50_000, 51_001, 15_000) < 51_001, "the store is away")
	assert.Equal(t, StartupHold(50_000, 50_000, 400), clock.Millis(50_100))
}
