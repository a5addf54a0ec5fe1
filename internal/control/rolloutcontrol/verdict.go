package rolloutcontrol

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// historyRounds is the number of earlier evaluation rounds for each of which the
	// answers since that round are also evaluated alone.
	historyRounds = 15
	// snapshotPeriod is the interval of the snapshots by which the newer half of a target's
	// answers is told from the older one.
	snapshotPeriod = 1_000 * clock.Millis(1)
	// rateSpan is the time over which the rate of requests is measured.
	rateSpan = 2_000 * clock.Millis(1)
	// reportAge is the least age of a verdict of another daemon.
	reportAge = 400 * clock.Millis(1)
	// decideBy is the progress at which a version that the evidence speaks against is rolled
	// back, just before the deadline.
	decideBy = 0.97
	// extendedUntil is the progress until which a version is kept within its allowance that
	// the evidence speaks for, but not clearly enough by the deadline.
	extendedUntil = 2.0
)

// The reasons for a verdict, in logs and metrics.
const (
	reasonFound     = "found_bad"
	reasonPeer      = "other_daemon"
	reasonLikelyBad = "likely_bad_at_deadline"
	reasonUnproven  = "unproven"
	reasonCleared   = "risk_acceptable"
	reasonIdle      = "few_requests"
)

// rolloutState is what the controller knows of a roll-out.
type rolloutState struct {
	verdict   rollout.Verdict
	reason    string
	clearedAt clock.Millis
	judged    bool // cleared in time for the schedule of the share
	risk      rollout.Risk
	traffic   rollout.Traffic
	plan      rollout.Plan
	loggedAt  clock.Millis

	history   []map[string]rollout.Comparison // of the last historyRounds rounds, by route
	snapshots []snapshot
	sent      []sentCount // of the last rateSpan
	// sessionShare is the share of sessions in the second half, chosen at its begin: a lower
	// one later would return sessions to the old version.
	sessionShare    float64
	hasSessionShare bool
}

// snapshot is a state of the statistics.
type snapshot struct {
	at      clock.Millis
	answers int // of the target
	routes  map[string]rollout.Comparison
}

// sentCount is how many requests all daemons had sent at a time.
type sentCount struct {
	at  clock.Millis
	all int
}

// speaksAgainst reports whether the evidence speaks against the target, though not clearly
// enough to find it bad.
func (s *rolloutState) speaksAgainst() bool { return s.risk.Expected > 1 }

// stateOf returns the state of the roll-out, which an order that was renumbered keeps.
func (c *Controller) stateOf(r fleet.Rollout) *rolloutState {
	state, ok := c.states[r.OrderVersion]
	if !ok && r.RenumberedFrom != 0 {
		state, ok = c.states[r.RenumberedFrom]
	}
	if !ok {
		state = &rolloutState{risk: rollout.Risk{Expected: 1}}
	}
	c.states[r.OrderVersion] = state
	return state
}

// judge decides about the target by the answers of all daemons, and plans its share of the
// requests until the next evaluation.
func (c *Controller) judge(r fleet.Rollout, state *rolloutState) {
	now := c.clock.Now()
	routes := c.peerStats.CompareVersions(r.Pool, r.OrderVersion)
	c.measureTraffic(routes, state, now)
	state.risk = rollout.AssessRisk(routes, state.newerHalf(routes))
	if state.verdict != rollout.Bad {
		if reason := c.findBad(r, routes, state); reason != "" {
			c.setVerdict(r, state, rollout.Bad, reason)
			c.canaryRouter.StopCanary(r)
		}
	}
	if state.verdict == rollout.Open {
		if reason := c.findCleared(r, routes, state); reason != "" {
			state.clearedAt = now
			if reason == reasonPeer {
				// The other daemons have known it about as long as this one, and a report longer.
				state.clearedAt -= reportAge
			}
			c.setVerdict(r, state, rollout.Cleared, reason)
		}
	}
	if state.verdict != rollout.Bad {
		state.plan = c.newPlan(r, routes, state)
		c.canaryRouter.SetPlan(r, state.plan)
	}
	c.metrics.observe(r.Pool, state, c.allowance.Limit(state.traffic.All, r.Progress(now)))
	c.logEvidence(r, routes, state)
	state.remember(routes, now)
}

func (c *Controller) setVerdict(r fleet.Rollout, state *rolloutState, v rollout.Verdict, reason string) {
	state.verdict, state.reason = v, reason
	c.metrics.countVerdict(r.Pool, v, reason)
	c.log.Info("roll-out verdict", "pool", r.Pool, "target", r.Target, "verdict", v.String(), "reason", reason, "risk", state.risk.Expected,
		"progress", r.Progress(c.clock.Now()), "trial_sent", state.traffic.Canary, "all_sent", state.traffic.All)
}

// findBad returns why the target must get no more requests; empty if it may.
func (c *Controller) findBad(r fleet.Rollout, routes map[string]rollout.Comparison, state *rolloutState) string {
	progress := r.Progress(c.clock.Now())
	switch {
	case routes[rollout.AllRoutes].Canary.Verdict == rollout.Bad:
		return reasonPeer
	case c.isBad(r, routes, state):
		return reasonFound
	case progress >= decideBy && state.speaksAgainst():
		return reasonLikelyBad
	case state.verdict == rollout.Cleared:
		return ""
	case progress >= extendedUntil:
		return reasonUnproven
	}
	return ""
}

// findCleared returns why the target may get all requests; empty if it may not. Half of the
// time must have passed, since a version may turn bad some seconds after its start.
func (c *Controller) findCleared(r fleet.Rollout, routes map[string]rollout.Comparison, state *rolloutState) string {
	now := c.clock.Now()
	progress := r.Progress(now)
	rest := r.StartedAt + r.Duration - now
	switch {
	case routes[rollout.AllRoutes].Canary.Verdict == rollout.Cleared:
		// A late verdict comes after HeldUntil only.
		state.judged = progress < rollout.HeldUntil()
		return reasonPeer
	case state.risk.Acceptable() && r.PastHalf(now) && progress < rollout.VerdictBy():
		// An early share needs enough answers on every route.
		state.judged = boundsHarm(routes)
		if state.judged {
			return reasonCleared
		}
	case state.risk.Acceptable() && progress >= rollout.HeldUntil():
		return reasonCleared
	case progress >= rollout.HeldUntil() && !state.speaksAgainst() && c.allowance.Covers(state.traffic, rest):
		return reasonIdle
	}
	return ""
}

// boundsHarm reports whether the target has enough answers on every route.
func boundsHarm(routes map[string]rollout.Comparison) bool {
	n := 0
	for route, comparison := range routes {
		if route == rollout.AllRoutes {
			continue
		}
		if !comparison.BoundsHarm() {
			return false
		}
		n++
	}
	return n > 0
}

// newPlan plans the target's share of the requests.
func (c *Controller) newPlan(r fleet.Rollout, routes map[string]rollout.Comparison, state *rolloutState) rollout.Plan {
	now := c.clock.Now()
	progress := r.Progress(now)
	if !state.hasSessionShare && r.PastHalf(now) {
		state.sessionShare = c.allowance.ShareUntil(state.traffic, r.StartedAt+r.Duration-now)
		state.hasSessionShare = true
		c.log.Info("share of sessions chosen", "pool", r.Pool, "target", r.Target, "share", state.sessionShare)
	}
	sent := make(map[string]int, len(routes))
	for route, comparison := range routes {
		sent[route] = comparison.Canary.Sent + comparison.Baseline.Sent
	}
	plan := rollout.Plan{
		Verdict: state.verdict, Judged: state.judged, SessionShare: state.sessionShare,
		Share:        c.allowance.ShareNow(state.traffic, progress),
		RouteFactors: rollout.RouteFactors(state.risk.Weights, sent),
	}
	if float64(state.traffic.Canary) >= c.allowance.Limit(state.traffic.All, progress) {
		plan.SessionShare = 0
	}
	return plan
}

// measureTraffic counts what all daemons have sent.
func (c *Controller) measureTraffic(routes map[string]rollout.Comparison, state *rolloutState, now clock.Millis) {
	t := rollout.Traffic{}
	for _, comparison := range routes {
		t.Canary += comparison.Canary.Sent
		t.All += comparison.Canary.Sent + comparison.Baseline.Sent
	}
	state.sent = append(state.sent, sentCount{now, t.All})
	for len(state.sent) > 1 && now-state.sent[1].at >= rateSpan {
		state.sent = state.sent[1:]
	}
	if first := state.sent[0]; now-first.at >= rateSpan/2 {
		t.PerSecond = max(float64(t.All-first.all), 0) * 1_000 / float64(now-first.at)
	}
	state.traffic = t
}

// newerHalf returns the comparisons of about the newer half of the target's answers.
func (s *rolloutState) newerHalf(routes map[string]rollout.Comparison) map[string]rollout.Comparison {
	half, earlier := countAnswers(routes)/2, map[string]rollout.Comparison(nil)
	for _, s := range s.snapshots {
		if s.answers <= half {
			earlier = s.routes
		}
	}
	return since(routes, earlier)
}

func since(routes, earlier map[string]rollout.Comparison) map[string]rollout.Comparison {
	newer := make(map[string]rollout.Comparison, len(routes))
	for route, comparison := range routes {
		newer[route] = comparison.Since(earlier[route])
	}
	return newer
}

func countAnswers(routes map[string]rollout.Comparison) int {
	n := 0
	for _, comparison := range routes {
		n += comparison.Canary.Total()
	}
	return n
}

// remember adds the comparisons to the history.
func (s *rolloutState) remember(routes map[string]rollout.Comparison, now clock.Millis) {
	s.history = append(s.history, routes)
	s.history = s.history[max(len(s.history)-historyRounds, 0):]
	if len(s.snapshots) == 0 || now-s.snapshots[len(s.snapshots)-1].at >= snapshotPeriod {
		s.snapshots = append(s.snapshots, snapshot{now, countAnswers(routes), routes})
	}
}

// isBad reports whether the target of the roll-out is bad on any route, or on all of them
// together, by all its answers or by the most recent ones.
func (c *Controller) isBad(r fleet.Rollout, routes map[string]rollout.Comparison, state *rolloutState) bool {
	for route, comparison := range routes {
		if finding := comparison.Evaluate(); finding != rollout.Healthy {
			c.logFinding(r, route, finding, comparison)
			return true
		}
		for _, round := range state.history {
			recent := comparison.Since(round[route])
			if finding := recent.EvaluateRecent(); finding != rollout.Healthy {
				c.logFinding(r, route, finding, recent)
				return true
			}
		}
	}
	// A fault that affects every route shows soonest on all routes together.
	if finding := rollout.EvaluatePool(values(routes)); finding != rollout.Healthy {
		c.logFinding(r, rollout.AllRoutes, finding, sum(routes))
		return true
	}
	for _, round := range state.history {
		recent := since(routes, round)
		if finding := rollout.EvaluateRecentPool(values(recent)); finding != rollout.Healthy {
			c.logFinding(r, rollout.AllRoutes, finding, sum(recent))
			return true
		}
	}
	return false
}

func values(routes map[string]rollout.Comparison) []rollout.Comparison {
	return slices.Collect(maps.Values(routes))
}

func sum(routes map[string]rollout.Comparison) rollout.Comparison {
	var total rollout.Comparison
	for _, comparison := range routes {
		total = total.Plus(comparison)
	}
	return total
}

func (c *Controller) logFinding(r fleet.Rollout, route string, finding rollout.Finding, comparison rollout.Comparison) {
	slow, restSlow := comparison.Slow()
	c.log.Warn("version found bad", "pool", r.Pool, "target", r.Target, "route", route, "finding", string(finding),
		"trial_good", comparison.Canary.Good, "trial_bad", comparison.Canary.Bad, "trial_errors", comparison.Canary.Errors, "trial_slow", slow,
		"rest_good", comparison.Baseline.Good, "rest_bad", comparison.Baseline.Bad, "rest_errors", comparison.Baseline.Errors, "rest_slow", restSlow,
		"trial_timed", comparison.Canary.LatencySamples, "trial_slowness", comparison.Canary.MeanSlowness(),
		"rest_timed", comparison.Baseline.LatencySamples, "rest_slowness", comparison.Baseline.MeanSlowness())
}
