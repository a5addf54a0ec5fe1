package admission

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestRepeatsOfAllDaemons has daemons repeat all they may. In no window may all of
// them together send more than ratio x requests + slack.
func TestRepeatsOfAllDaemons(t *testing.T) {
	const (
		ratio  = 0.9
		slack  = 54.0
		window = clock.Millis(10_000)
		step   = 100
	)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 30).Draw(t, "hosts")
		perStep := rapid.Float64Range(0, 6).Draw(t, "requests in each step")
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		budgets := make([]*SharedRetryBudget, hosts)
		for i := range budgets {
			budgets[i] = NewSharedRetryBudget(ratio, slack, window)
			budgets[i].SetHostCount(hosts)
		}
		var requests, repeats []int
		for now := clock.Millis(1_000_000); now < 1_030_000; now += step {
			asked, again := 0, 0
			for _, b := range budgets {
				for n := chance.Float64() * 2 * perStep / float64(hosts); n > chance.Float64(); n-- {
					b.RecordRequest("text", now)
					asked++
				}
				for b.TryAcquire("text", now) {
					again++
				}
			}
			requests, repeats = append(requests, asked), append(repeats, again)
			from := max(len(repeats)-int(window/step), 0)
			if sum(repeats[from:]) > ratio*sum(requests[from:])+slack+1 {
				t.Fatalf("%v repeats of %v requests", sum(repeats[from:]), sum(requests[from:]))
			}
		}
	})
}

func sum(list []int) float64 {
	total := 0
	for _, n := range list {
		total += n
	}
	return float64(total)
}

// TestRoomForFailures leaves a part of the budget to repeats after failures.
func TestRoomForFailures(t *testing.T) {
	b := NewSharedRetryBudget(0.9, 0, 10_000)
	for range 100 {
		b.RecordRequest("text", 1_000_000)
	}
	could := 0
	for b.AllowsOptional("text", 1_000_000) && b.TryAcquire("text", 1_000_000) {
		could++
	}
	left := 0
	for b.TryAcquire("text", 1_000_000) {
		left++
	}
	allowed := repeatShare * 0.9 * 100
	assert.Equal(t, could+left, int(allowed))
	assert.Assert(t, float64(left) >= reserved*allowed-1, "%d of %g are left for failures", left, allowed)
}
