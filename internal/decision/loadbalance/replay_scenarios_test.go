package loadbalance

import (
	"fmt"
	"math"
	"os"
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

// The lasting speeds of the servers of a replay, by turns.
var (
	threeSpeeds = []float64{0.7, 0.7, 1.7}
	sameSpeed   = []float64{1}
)

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

// checkPlacement compares the median and the 99th percentile of the time to the first event
// and the share of requests in target with the baselines', for several numbers of daemons.
// It appends the results to the file that PLACEMENT_PAGE names, if it is set.
func checkPlacement(t *testing.T, name string, scenario replay) {
	t.Helper()
	t.Logf("seeds %v", replaySeeds)
	var page strings.Builder
	for _, daemons := range []int{7, 67, 390} {
		results := runAll(scenario, daemons)
		for _, policy := range replayPolicies {
			got := results[policy]
			fmt.Fprintf(&page, "| %s | %d | %s | %.0f | %.0f | %.4f |\n", name, daemons, policy, got.p50, got.p99, got.inTarget)
		}
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			got := results[newPolicy]
			for _, policy := range replayPolicies {
				base := results[policy]
				assert.Check(t, math.Round(got.p50) <= math.Round(base.p50), "p50: %.0f ms, %s %.0f ms", got.p50, policy, base.p50)
				assert.Check(t, math.Round(got.p99) <= math.Round(base.p99), "p99: %.0f ms, %s %.0f ms", got.p99, policy, base.p99)
				assert.Check(t, got.inTarget >= base.inTarget, "in target: %.4f, %s %.4f", got.inTarget, policy, base.inTarget)
			}
		})
	}
	if path := os.Getenv("PLACEMENT_PAGE"); path != "" {
		f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		assert.NilError(t, err)
		_, err = f.WriteString(page.String())
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
	}
}

// TestPlacementThreeSpeeds guards against fast servers being left free while slow ones queue.
func TestPlacementThreeSpeeds(t *testing.T) {
	checkPlacement(t, "three speeds", replay{perSecond: 220, speeds: threeSpeeds})
}

// TestPlacementPassing guards against requests waiting at servers that are slow for a moment.
func TestPlacementPassing(t *testing.T) {
	checkPlacement(t, "passing slowness", replay{perSecond: 200, speeds: sameSpeed, slow: passing})
}

// TestPlacementPassingPlain is TestPlacementPassing at four plain servers, whose load changes
// several times between two reports: all daemons could choose the same server.
func TestPlacementPassingPlain(t *testing.T) {
	checkPlacement(t, "passing slowness, plain", replay{perSecond: 180, speeds: sameSpeed, slow: passing, plain: true})
}

// TestPlacementThirdSlow guards against a slowness that lasts for seconds being forgotten
// between the statements of it, or being taken for the servers' lasting speed.
func TestPlacementThirdSlow(t *testing.T) {
	checkPlacement(t, "a third slow for 8 s", replay{perSecond: 140, speeds: sameSpeed, slow: thirdSlow})
}

// TestPlacementThirdSlowNotStated is TestPlacementThirdSlow with servers that state a pace of
// 100 all the time.
func TestPlacementThirdSlowNotStated(t *testing.T) {
	checkPlacement(t, "a third slow, not stated", replay{perSecond: 140, speeds: sameSpeed, slow: thirdSlow, unstated: true})
}

// TestPlacementHotKey guards against one server getting most of a kind's traffic, and against
// the daemons sending it to the same one of several.
func TestPlacementHotKey(t *testing.T) {
	checkPlacement(t, "one hot key", replay{perSecond: 200, speeds: threeSpeeds, hotShare: 0.6})
}

// TestPlacementWave guards against slow servers queueing at the peak of the traffic.
func TestPlacementWave(t *testing.T) {
	checkPlacement(t, "wave of 0.55 in 17 s", replay{perSecond: 200, speeds: threeSpeeds, wave: 0.55})
}
