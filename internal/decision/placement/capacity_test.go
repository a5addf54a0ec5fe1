package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestCapacityFromReports checks that reports of waiting requests reduce a server's
// capacity and that later reports without any restore it. Without the limit, requests
// would be sent to a server that only queues them.
func TestCapacityFromReports(t *testing.T) {
	tracker := NewTracker(1_000)
	k := ServerKey{Pool: "text", Server: "engine-1"}
	tracker.ApplyReport(k, LoadReport{Running: 4, Waiting: 3}, 1)
	assert.Equal(t, tracker.Get(k).Capacity.Bound(8), 4)
	tracker.ApplyReport(k, LoadReport{Running: 2}, 2)
	assert.Equal(t, tracker.Get(k).Capacity.Bound(8), 5)
	for i := range 20 {
		tracker.ApplyReport(k, LoadReport{Running: 2}, 3+clock.Millis(i))
	}
	assert.Equal(t, tracker.Get(k).Capacity.Bound(8), 8)
}

func ExampleCapacity() {
	var c Capacity
	fmt.Println(c.Bound(8), c.With(4, 2).Bound(8), c.With(4, 2).With(4, 0).Bound(8))
	// Output: 8 4 5
}
