package rolloutcontrol

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// evidencePeriod is the interval at which the evidence of a running roll-out is logged.
const evidencePeriod = 1_000 * clock.Millis(1)

// logEvidence logs periodically what this daemon knows of the target: without it, a version
// that was completed can't be told from one of which nothing was known.
func (c *Controller) logEvidence(r fleet.Rollout) {
	now := c.clock.Now()
	if last, logged := c.loggedAt[r.OrderVersion]; (logged && now < last+evidencePeriod) || r.Stage != fleet.Running {
		return
	}
	c.loggedAt[r.OrderVersion] = now
	routes := c.peerStats.CompareVersions(r.Pool, r.OrderVersion)
	var trial, rest rollout.AnswerStats
	for _, comparison := range routes {
		trial, rest = trial.Plus(comparison.Canary), rest.Plus(comparison.Baseline)
	}
	c.log.Info("roll-out evidence", "pool", r.Pool, "target", r.Target, "progress", r.Progress(now), "judged", c.judged[r.OrderVersion],
		"trial_sent", trial.Sent, "rest_sent", rest.Sent, "routes", describeRoutes(routes))
}

// describeRoutes returns answers/errors/slow answers of the target and of the rest, by route.
func describeRoutes(routes map[string]rollout.Comparison) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		comparison := routes[name]
		if name == allRoutes {
			continue
		}
		slow, usualSlow := comparison.Slow()
		parts = append(parts, fmt.Sprintf("%s %d/%d/%d of %d/%d/%d", name, comparison.Canary.Total(), comparison.Canary.Errors, slow,
			comparison.Baseline.Total(), comparison.Baseline.Errors, usualSlow))
	}
	return strings.Join(parts, "; ")
}
