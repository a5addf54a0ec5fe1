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

// logEvidence logs periodically what this daemon knows of the target and what follows from
// it: without it, a version that was proven can't be told from one of which nothing was known.
func (c *Controller) logEvidence(r fleet.Rollout, routes map[string]rollout.Comparison, state *rolloutState) {
	now := c.clock.Now()
	if now < state.loggedAt+evidencePeriod || r.Stage != fleet.Running {
		return
	}
	state.loggedAt = now
	progress := r.Progress(now)
	c.log.Info("roll-out evidence", "pool", r.Pool, "target", r.Target, "progress", progress, "verdict", state.verdict.String(),
		"risk", state.risk.Expected, "trial_sent", state.traffic.Canary, "all_sent", state.traffic.All,
		"trial_allowed", c.allowance.Limit(state.traffic.All, progress), "share", state.plan.Share, "routes", describeRoutes(routes))
}

// describeRoutes returns answers/errors/slow answers of the target and of the rest, by route.
func describeRoutes(routes map[string]rollout.Comparison) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		comparison := routes[name]
		if name == rollout.AllRoutes {
			continue
		}
		slow, usualSlow := comparison.Slow()
		parts = append(parts, fmt.Sprintf("%s %d/%d/%d of %d/%d/%d", name, comparison.Canary.Total(), comparison.Canary.Errors, slow,
			comparison.Baseline.Total(), comparison.Baseline.Errors, usualSlow))
	}
	return strings.Join(parts, "; ")
}
