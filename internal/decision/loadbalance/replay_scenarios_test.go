package loadbalance

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// newPolicy is the placement by expected finish; the others are its baselines.
const newPolicy = "expected finish"

var replayPolicies = []string{"round robin", "least load", "two choices", "present cost", newPolicy}

// replaySeeds are the seeds of the replays, whose results are added up.
var replaySeeds = []uint64{1, 2, 3}

// passing makes 15% of the servers slow by a factor of 2.5, others in each 600 ms.
func passing(server int, now float64) float64 {
	if container.UnitHash(fmt.Sprint(server), fmt.Sprint(int(now/replayPaceEnd))) < 0.15 {
		return 2.5
	}
	return 1
}

// thirdSlow makes a third of the servers four times slower for 8 s.
func thirdSlow(server int, now float64) float64 {
	if server%3 == 1 && now >= 12_000 && now < 20_000 {
		return 4
	}
	return 1
}

// replayScenarios are the loads that the design page names, at 24 engines or 4 plain servers.
func replayScenarios() map[string]replay {
	speeds, even := []float64{0.7, 0.7, 1.7}, []float64{1}
	return map[string]replay{
		"three speeds":             {perSecond: 220, speeds: speeds},
		"passing slowness":         {perSecond: 200, speeds: even, slow: passing},
		"passing slowness, plain":  {perSecond: 180, speeds: even, slow: passing, plain: true},
		"a third slow for 8 s":     {perSecond: 140, speeds: even, slow: thirdSlow},
		"a third slow, not stated": {perSecond: 140, speeds: even, slow: thirdSlow, unstated: true},
		"one hot key":              {perSecond: 200, speeds: speeds, hotShare: 0.6},
		"wave of 0.55 in 17 s":     {perSecond: 200, speeds: speeds, wave: 0.55},
	}
}

// runAll replays the scenario with each policy and all seeds.
func runAll(scenario replay, daemons int) map[string]replayResult {
	results := make(map[string]replayResult)
	for _, policy := range replayPolicies {
		var all replay
		for _, seed := range replaySeeds {
			r := scenario
			r.daemons, r.policy = daemons, policy
			servers := 24
			if r.plain {
				servers = 4
			}
			r.run(seed, servers)
			all.started, all.inTarget = append(all.started, r.started...), all.inTarget+r.inTarget
		}
		results[policy] = all.result()
	}
	return results
}

// TestPlacementIsNotWorse guards against placement by speed being worse than simpler ways to
// place: for each load and number of daemons, the median and the 99th percentile of the time
// to the first event and the share of requests in target are compared with the baselines'.
// With PLACEMENT_PAGE set, it writes the results there.
func TestPlacementIsNotWorse(t *testing.T) {
	t.Logf("seeds %v", replaySeeds)
	scenarios := replayScenarios()
	var page strings.Builder
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		for _, daemons := range []int{7, 67, 390} {
			results := runAll(scenarios[name], daemons)
			for _, policy := range replayPolicies {
				got := results[policy]
				fmt.Fprintf(&page, "| %s | %d | %s | %.0f | %.0f | %.4f |\n", name, daemons, policy, got.p50, got.p99, got.inTarget)
			}
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				got := results[newPolicy]
				for _, policy := range replayPolicies {
					base := results[policy]
					assert.Check(t, math.Round(got.p50) <= math.Round(base.p50), "p50: %.0f ms, %s %.0f ms", got.p50, policy, base.p50)
					assert.Check(t, math.Round(got.p99) <= math.Round(base.p99), "p99: %.0f ms, %s %.0f ms", got.p99, policy, base.p99)
					assert.Check(t, got.inTarget >= base.inTarget, "in target: %.4f, %s %.4f", got.inTarget, policy, base.inTarget)
				}
			})
		}
	}
	if path := os.Getenv("PLACEMENT_PAGE"); path != "" {
		assert.NilError(t, os.WriteFile(path, []byte(page.String()), 0o600))
	}
}
