package rollout

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeldShareStaysWithinExposure checks that a version without a verdict gets no more
// than a bad version may until there is just the time to complete it, and that its share
// never falls.
func TestHeldShareStaysWithinExposure(t *testing.T) {
	const steps = 1_000
	for _, exposed := range []float64{0.05, 0.1, 0.15, 0.3} {
		requests, last := 0.0, 0.0
		for i := range steps {
			progress := float64(i) / steps
			share := math.Min(ShareAt(progress, exposed), HeldShare(progress, exposed))
			assert.Assert(t, share >= last, "exposed %.2f: falls at %.3f", exposed, progress)
			if progress < HeldUntil() {
				requests += share / steps
			}
			last = share
		}
		assert.Assert(t, requests <= exposed, "exposed %.2f: %.3f of the requests", exposed, requests)
		assert.Equal(t, last, 1.0)
	}
}
