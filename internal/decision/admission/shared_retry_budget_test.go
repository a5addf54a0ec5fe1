package admission

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestSharedRetryBudgetOfAllDaemons has every daemon retry as often as its budget
// allows. In no window may all of them together retry more than ratio x requests +
// allowance, as they would if the allowance were not divided among them.
func TestSharedRetryBudgetOfAllDaemons(t *testing.T) {
	const (
		ratio     = 0.9
		allowance = 54.0
		window    = clock.Millis(10_000)
		step      = 100
	)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 30).Draw(t, "hosts")
		perStep := rapid.Float64Range(0, 6).Draw(t, "requests in each step")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		budgets := make([]*SharedRetryBudget, hosts)
		for i := range budgets {
			budgets[i] = NewSharedRetryBudget(ratio, allowance, window)
			budgets[i].SetHostCount(hosts)
		}
		var requests, retries []int
		for now := clock.Millis(1_000_000); now < 1_030_000; now += step {
			sent, retried := 0, 0
			for _, b := range budgets {
				for n := random.Float64() * 2 * perStep / float64(hosts); n > random.Float64(); n-- {
					b.RecordRequest("text", now)
					sent++
				}
				for b.TryAcquire("text", now) {
					retried++
				}
			}
			requests, retries = append(requests, sent), append(retries, retried)
			from := max(len(retries)-int(window/step), 0)
			if sum(retries[from:]) > ratio*sum(requests[from:])+allowance+1 {
				t.Fatalf("%v retries of %v requests", sum(retries[from:]), sum(requests[from:]))
			}
		}
	})
}

// TestRequestsOfEarlierWindow has daemons that count earlier requests retry as often as their
// budget allows while crowds come and go. In no window may they retry more than the backend
// servers allow, which count the requests of that window, of the one before it or of the one half
// a window before it, whichever has most.
func TestRequestsOfEarlierWindow(t *testing.T) {
	const (
		ratio     = 0.9
		allowance = 54.0
		window    = clock.Millis(10_000)
		step      = 500
		perWindow = int(window / step)
	)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 5).Draw(t, "hosts")
		budgets := make([]*SharedRetryBudget, hosts)
		for i := range budgets {
			budgets[i] = NewSharedRetryBudget(ratio, allowance, window)
			budgets[i].SetHostCount(hosts)
			budgets[i].SetCountsEarlier(func(string, clock.Millis) bool { return true })
		}
		var requests, retries []int
		for range rapid.IntRange(2, 8).Draw(t, "crowds") {
			perStep, steps := rapid.IntRange(0, 60).Draw(t, "requests in each step"), rapid.IntRange(1, 30).Draw(t, "steps")
			for range steps {
				now := clock.Millis(1_000_000 + step*len(requests))
				retried := 0
				for i := range perStep {
					budgets[i%hosts].RecordRequest("text", now)
				}
				for _, b := range budgets {
					for b.TryAcquire("text", now) {
						retried++
					}
				}
				requests, retries = append(requests, perStep), append(retries, retried)
			}
		}
		in := func(counts []int, from int) float64 {
			return sum(counts[min(max(from, 0), len(counts)):min(max(from+perWindow, 0), len(counts))])
		}
		for from := -perWindow; from < len(requests); from++ {
			counted := max(in(requests, from), in(requests, from-perWindow/2), in(requests, from-perWindow))
			if in(retries, from) > ratio*counted+allowance+1 {
				t.Fatalf("%v retries of %v requests", in(retries, from), counted)
			}
		}
	})
}

// TestRetriesAfterCrowd guards against a budget that a crowd's last requests have used up when
// the crowd has left, although the backend servers still count its requests.
func TestRetriesAfterCrowd(t *testing.T) {
	for name, c := range map[string]struct {
		counts bool
		want   int
	}{"counts earlier": {true, 8}, "doesn't": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			b := NewSharedRetryBudget(0.9, 0, 10_000)
			b.SetCountsEarlier(func(string, clock.Millis) bool { return c.counts })
			for range 100 {
				b.RecordRequest("text", 1_000_000)
			}
			for range 70 {
				assert.Assert(t, b.TryAcquire("text", 1_003_000))
			}
			for range 10 {
				b.RecordRequest("text", 1_011_500)
			}
			retries := 0
			for b.TryAcquire("text", 1_011_500) {
				retries++
			}
			assert.Equal(t, retries, c.want)
		})
	}
}

// TestRestartsDoNotRenewAllowance restarts all daemons after they have used up the budget.
// Together with their former incarnations they must not retry more than one budget allows.
func TestRestartsDoNotRenewAllowance(t *testing.T) {
	const (
		ratio     = 0.9
		allowance = 54.0
		window    = clock.Millis(10_000)
		hosts     = 7
		start     = clock.Millis(1_000_000)
	)
	requests, retries := 0, 0
	for incarnation := range clock.Millis(3) {
		for range hosts {
			b := NewSharedRetryBudget(ratio, allowance, window)
			b.StartAt(start + 3_000*incarnation)
			if incarnation == 0 {
				b.StartAt(start - window)
			}
			b.SetHostCount(hosts)
			for now := start + 3_000*incarnation; now < start+3_000*(incarnation+1); now += 500 {
				b.RecordRequest("text", now)
				requests++
				for b.TryAcquire("text", now) {
					retries++
				}
			}
		}
	}
	assert.Assert(t, float64(retries) <= ratio*float64(requests)+allowance, "%d retries of %d requests", retries, requests)
}

func sum(list []int) float64 {
	total := 0
	for _, n := range list {
		total += n
	}
	return float64(total)
}

// TestReserveForFailures checks that optional attempts leave the reserved fraction of
// the budget to retries after failures.
func TestReserveForFailures(t *testing.T) {
	b := NewSharedRetryBudget(0.9, 0, 10_000)
	for range 100 {
		b.RecordRequest("text", 1_000_000)
	}
	optional := 0
	for b.AllowsOptional("text", 1_000_000) && b.TryAcquire("text", 1_000_000) {
		optional++
	}
	remaining := 0
	for b.TryAcquire("text", 1_000_000) {
		remaining++
	}
	allowed := usableFraction * 0.9 * 100
	assert.Equal(t, optional+remaining, int(allowed))
	assert.Assert(t, float64(remaining) >= reservedFraction*allowed-1, "%d of %g remain for failures", remaining, allowed)
}

// TestPartOfSecondAttempts guards against second attempts that use up what escalations need, and
// against a daemon with few requests that makes none at all.
func TestPartOfSecondAttempts(t *testing.T) {
	const part, now = 0.1, 1_000_000
	cases := map[string]struct{ requests, want int }{
		"many requests": {1_000, 83}, // 0.93 x 0.9 x 1,000 x 0.1
		"few requests":  {5, 1},
		"no budget":     {0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewSharedRetryBudget(0.9, 0, 10_000)
			for range c.requests {
				b.RecordRequest("text", now)
			}
			made := 0
			for b.AllowsSecondAttempt("text", part, now) && b.TryAcquire("text", now) {
				b.RecordSecondAttempt("text", now)
				made++
			}
			assert.Equal(t, made, c.want)
			assert.Equal(t, b.AllowsOptional("text", now), c.requests > 0, "escalations have the rest")
			assert.Equal(t, b.AllowsSecondAttempt("text", part, now+12_000), false, "no requests in the window")
		})
	}
}
