package rollout

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestUnprovenVersionStaysWithinAllowance checks that a version without a verdict never has
// more requests than a bad version may, however the load changes and although the daemons
// know of each other's requests 0.8 s later, and that a steady load uses most of them.
func TestUnprovenVersionStaysWithinAllowance(t *testing.T) {
	const step, duration, age = clock.Millis(100), clock.Millis(20_000), 8
	loads := map[string]func(at clock.Millis) float64{
		"steady": func(clock.Millis) float64 { return 1 },
		"burst": func(at clock.Millis) float64 {
			if at > 8_000 && at < 12_000 {
				return 3
			}
			return 1
		},
		"drop": func(at clock.Millis) float64 {
			if at > 8_000 {
				return 0.1
			}
			return 1
		},
		"wave": func(at clock.Millis) float64 { return 1 + 0.5*math.Sin(float64(at)/1_500) },
	}
	allowances := map[string]Allowance{"no slack": {Share: 0.15}, "usual": {Share: 0.15, Slack: 30}, "more": {Share: 0.3, Slack: 100}}
	for name, load := range loads {
		for kind, a := range allowances {
			for _, perSecond := range []float64{3, 15, 40, 400} {
				all, canary := []float64{0}, []float64{0}
				at := func(counts []float64, steps int) float64 { return counts[max(len(counts)-1-steps, 0)] }
				for now := clock.Millis(0); now < duration; now += step {
					known := Traffic{
						All: int(at(all, age)), Canary: int(at(canary, age)),
					}
					if span := min(len(all)-1-age, 20); span > 0 {
						known.PerSecond = (at(all, age) - at(all, age+span)) * 10 / float64(span)
					}
					share := a.ShareNow(known, float64(now)/float64(duration))
					requests := perSecond * load(now) * float64(step) / 1_000
					all, canary = append(all, at(all, 0)+requests), append(canary, at(canary, 0)+requests*share)
					allowed := a.Share*at(all, 0) + a.Slack
					assert.Assert(t, at(canary, 0) <= allowed+1, "%s, %s, %g/s: %.1f of %.1f at %d ms", name, kind, perSecond, at(canary, 0), allowed, now)
				}
				if name == "steady" && a.Slack < perSecond*float64(duration)/1_000 {
					used := at(canary, 0) / (a.Share*at(all, 0) + a.Slack)
					assert.Assert(t, used >= 0.7, "%s, %g/s: uses %.2f", kind, perSecond, used)
				}
			}
		}
	}
}

// TestSessionsStayWithinAllowance checks the constant share of sessions, which is chosen in
// the middle of a roll-out and doesn't fall.
func TestSessionsStayWithinAllowance(t *testing.T) {
	a := Allowance{Share: 0.15, Slack: 30}
	for _, perSecond := range []float64{3, 40, 400} {
		half := Traffic{All: int(perSecond * 10), Canary: int(perSecond * 0.9), PerSecond: perSecond}
		canary := float64(half.Canary) + a.ShareUntil(half, 10_000)*perSecond*10
		assert.Assert(t, canary <= a.Share*perSecond*20+a.Slack, "%g/s: %.1f", perSecond, canary)
	}
}

// TestAllowanceCoversIdleService checks that a service with hardly any requests isn't held:
// all of them together are no more than a bad version may get.
func TestAllowanceCoversIdleService(t *testing.T) {
	a := Allowance{Share: 0.15, Slack: 30}
	cases := map[string]struct {
		perSecond float64
		want      bool
	}{"none": {0, true}, "one a second": {1, true}, "fifteen a second": {15, false}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			half := Traffic{All: int(c.perSecond * 10), Canary: int(c.perSecond * 5), PerSecond: c.perSecond}
			assert.Equal(t, a.Covers(half, 10_000), c.want)
		})
	}
}
