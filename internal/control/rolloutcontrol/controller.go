// Package rolloutcontrol advances roll-outs through their stages. Every daemon runs a
// Controller. Whichever acts first records the next stage; the store rejects a
// concurrent record, so each stage is recorded once. It serves program/entry;
// program/daemon does this in package reconciler.
package rolloutcontrol

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// evaluationPeriod is the interval at which roll-outs are evaluated.
	evaluationPeriod = 200 * clock.Millis(1)
	// rankDelay is the delay per rank before a daemon records a stage, so that a daemon
	// of higher rank only acts if those before it have not.
	rankDelay = 400 * clock.Millis(1)
	// rollBackRankDelay is the same for a roll-back, which is urgent: requests still reach
	// the bad version, and a daemon that has not found it bad may complete it.
	rollBackRankDelay = 100 * clock.Millis(1)
	// recordTimeout bounds one call to the store.
	recordTimeout = 1 * time.Second
	// completeBy is the fraction of a roll-out's duration after which a good roll-out is
	// completed even if requests are still running on servers of other versions.
	completeBy = 0.9
	// settleTime is the minimum time between sending all requests to the new version and
	// completing the roll-out, so that every daemon has reached that point.
	settleTime = 1_500 * clock.Millis(1)
	// historyRounds is the number of earlier evaluation rounds for each of which the
	// answers since that round are also evaluated alone.
	historyRounds = 15
)

// Recorder writes the stage of a roll-out to the store.
type Recorder interface {
	// Record replaces the recorded stage. Returns rowstore.ErrConflict if the record has
	// changed since r was read, and otherwise the errors of rowstore.Store's Commit.
	Record(ctx context.Context, r fleet.Rollout, stage fleet.Stage) error
}

// CanaryStopper stops requests to a canary version.
type CanaryStopper interface {
	// StopCanary stops this daemon's requests to the target of the roll-out, before the
	// roll-back is recorded.
	StopCanary(r fleet.Rollout)
	// HoldCanary limits this daemon's requests to the target while its answers are too
	// few for a verdict.
	HoldCanary(r fleet.Rollout, held bool)
}

// Controller advances the roll-outs of the view. Not safe for concurrent use.
type Controller struct {
	log           hclog.Logger
	clock         clock.Clock
	host          string
	view          func() *fleet.View
	peerStats     *peerstats.Aggregator
	canaryStopper CanaryStopper
	recorder      Recorder
	ownLoads      func() map[string]loadbalance.Load // this daemon's, by server ID

	dueSince map[attemptKey]clock.Millis               // when a stage became due or was last attempted
	history  map[int64][]map[string]rollout.Comparison // by order version; comparisons by route of the last historyRounds rounds
	bad      map[int64]bool                            // by order version; the target was found bad
	judged   map[int64]bool                            // by order version; the target's answers were enough for a verdict
	loggedAt map[int64]clock.Millis                    // by order version; when the evidence was last logged
}

// attemptKey identifies the record of a stage. A stage is recorded again, by the same
// ranks, if the store has lost the record.
type attemptKey struct {
	pool  string
	stage fleet.Stage
	epoch int64 // of the store, in which a lost record is replaced; else 0
}

// Config holds the dependencies of a Controller.
type Config struct {
	Log           hclog.Logger
	Clock         clock.Clock
	Host          string // name of this daemon's host
	View          func() *fleet.View
	PeerStats     *peerstats.Aggregator
	CanaryStopper CanaryStopper
	Recorder      Recorder
	OwnLoads      func() map[string]loadbalance.Load // this daemon's in-flight requests by server ID
}

// New returns a controller that has not evaluated any roll-out.
func New(c Config) *Controller {
	return &Controller{
		log: c.Log, clock: c.Clock, host: c.Host, view: c.View, peerStats: c.PeerStats, canaryStopper: c.CanaryStopper,
		recorder: c.Recorder, ownLoads: c.OwnLoads,
		dueSince: make(map[attemptKey]clock.Millis),
		history:  make(map[int64][]map[string]rollout.Comparison),
		bad:      make(map[int64]bool),
		judged:   make(map[int64]bool),
		loggedAt: make(map[int64]clock.Millis),
	}
}

// Run evaluates the roll-outs periodically until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	clock.Every(ctx, evaluationPeriod, func() {
		v := c.view()
		for _, r := range v.Rollouts {
			if r.Stage == fleet.Ordered || r.Stage == fleet.Running || r.RecordLost {
				c.evaluate(ctx, v, r)
			}
		}
	})
}

// evaluate stops the canary if it is bad, and records the next stage if it is due and
// the daemons of lower rank have not recorded it.
func (c *Controller) evaluate(ctx context.Context, v *fleet.View, r fleet.Rollout) {
	ended := r.Stage == fleet.Completed || r.Stage == fleet.RolledBack
	if !ended && !c.bad[r.OrderVersion] && (c.bad[r.RenumberedFrom] || c.isBad(r)) {
		c.bad[r.OrderVersion] = true
		c.canaryStopper.StopCanary(r)
	}
	c.judge(r)
	c.logEvidence(r)
	stage, due := c.nextStage(v, r)
	if !due {
		return
	}
	now := c.clock.Now()
	key := attemptKey{pool: r.Pool, stage: stage}
	if r.RecordLost {
		key.epoch = r.RecordEpoch
	}
	since, pending := c.dueSince[key]
	if !pending {
		c.dueSince[key] = now
		since = now
	}
	delay := rankDelay
	if stage == fleet.RolledBack {
		delay = rollBackRankDelay
	}
	if now-since < clock.Millis(v.Rank(r.Pool, c.host))*delay {
		return
	}
	c.dueSince[key] = now // a failed attempt is retried after the same delay
	recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := c.recorder.Record(recordCtx, r, stage)
	switch {
	case err == nil:
		c.log.Info("roll-out stage recorded", "pool", r.Pool, "target", r.Target, "from", r.Stage.String(), "to", stage.String())
	case errors.Is(err, rowstore.ErrConflict):
		c.log.Info("roll-out record was changed by another daemon", "pool", r.Pool, "to", stage.String())
	default:
		c.log.Warn("failed to record roll-out stage", "pool", r.Pool, "to", stage.String(), "error", err.Error())
	}
}

// nextStage returns the stage to be recorded now, and whether there is one.
func (c *Controller) nextStage(v *fleet.View, r fleet.Rollout) (fleet.Stage, bool) {
	now := c.clock.Now()
	switch {
	case r.Stage == fleet.Completed || r.Stage == fleet.RolledBack:
		return r.Stage, r.RecordLost
	case c.bad[r.OrderVersion]:
		return fleet.RolledBack, true
	case r.RecordLost:
		return r.Stage, true
	case r.Stage == fleet.Ordered:
		return fleet.Running, true
	case now < c.fullShareAt(r)+settleTime:
		return 0, false
	case !targetInService(v, r):
		return 0, false
	}
	return fleet.Completed, r.Progress(now) >= completeBy || !c.othersBusy(v, r)
}

// judge holds the canary back unless its answers on every route are enough for a verdict
// in time.
func (c *Controller) judge(r fleet.Rollout) {
	if c.judged[r.OrderVersion] || r.Progress(c.clock.Now()) >= rollout.VerdictBy() {
		return
	}
	routes := c.peerStats.CompareVersions(r.Pool, r.OrderVersion)
	delete(routes, allRoutes)
	judged := len(routes) > 0
	for _, comparison := range routes {
		judged = judged && comparison.BoundsHarm()
	}
	c.judged[r.OrderVersion] = judged
	c.canaryStopper.HoldCanary(r, !judged)
}

// fullShareAt returns when the target gets all requests.
func (c *Controller) fullShareAt(r fleet.Rollout) clock.Millis {
	progress := rollout.HeldUntil()
	if c.judged[r.OrderVersion] {
		progress = rollout.FullShareProgress()
	}
	return r.StartedAt + clock.Millis(float64(r.Duration)*progress)
}

// targetInService reports whether the target version has a server in service.
func targetInService(v *fleet.View, r fleet.Rollout) bool {
	entries := v.Pool(r.Pool)
	for i := range entries {
		if entries[i].Version == r.Target && v.InService(&entries[i]) {
			return true
		}
	}
	return false
}

// othersBusy reports whether requests are in flight on servers of other versions.
func (c *Controller) othersBusy(v *fleet.View, r fleet.Rollout) bool {
	peers, own := c.peerStats.PeerLoads(), c.ownLoads()
	for _, e := range v.Pool(r.Pool) {
		if e.Version != r.Target && peers[e.ID].Calls+own[e.ID].Calls > 0 {
			return true
		}
	}
	return false
}

// allRoutes is the key of the sum of all routes of a pool.
const allRoutes = ""

// isBad reports whether the target of the roll-out is bad on any route, by all its
// answers or by the most recent ones. If it is not, the current comparisons are added to
// the history.
func (c *Controller) isBad(r fleet.Rollout) bool {
	routes := c.peerStats.CompareVersions(r.Pool, r.OrderVersion)
	// A fault that affects every route shows soonest in the sum of all routes.
	var sum rollout.Comparison
	for _, comparison := range routes {
		sum = sum.Plus(comparison)
	}
	routes[allRoutes] = sum
	earlier := c.history[r.OrderVersion]
	for route, comparison := range routes {
		finding := comparison.Evaluate()
		if route == allRoutes {
			finding = comparison.EvaluatePool()
		}
		if finding != rollout.Healthy {
			c.logFinding(r, route, finding, comparison)
			return true
		}
		for _, round := range earlier {
			recent := comparison.Since(round[route])
			if finding := recent.EvaluateRecent(); finding != rollout.Healthy {
				c.logFinding(r, route, finding, recent)
				return true
			}
		}
	}
	earlier = append(earlier, routes)
	c.history[r.OrderVersion] = earlier[max(len(earlier)-historyRounds, 0):]
	return false
}

func (c *Controller) logFinding(r fleet.Rollout, route string, finding rollout.Finding, comparison rollout.Comparison) {
	c.log.Warn("version found bad", "pool", r.Pool, "target", r.Target, "route", route, "finding", string(finding),
		"trial_good", comparison.Canary.Good, "trial_bad", comparison.Canary.Bad,
		"rest_good", comparison.Baseline.Good, "rest_bad", comparison.Baseline.Bad,
		"trial_timed", comparison.Canary.LatencySamples, "trial_slowness", comparison.Canary.MeanSlowness(),
		"rest_timed", comparison.Baseline.LatencySamples, "rest_slowness", comparison.Baseline.MeanSlowness())
}
