// Package rolloutcontrol advances roll-outs through their stages. Every daemon runs a
// Controller. Whichever acts first records the next stage; the store rejects a
// concurrent record, so each stage is recorded once. It serves program/entry;
// program/daemon does this in package reconciler.
package rolloutcontrol

import (
	"context"
	"maps"
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
	// closeRanks is the number of ranks with that delay, and lateRankDelay that of the others.
	closeRanks    = 3
	lateRankDelay = 2 * clock.Millis(1)
	// recordTimeout bounds one call to the store.
	recordTimeout = 1 * time.Second
	// completeBy is the fraction of a roll-out's duration after which a good roll-out is
	// completed even if requests are still running on servers of other versions.
	completeBy = 0.9
	// The minimum time between sending all requests to the new version and completing the
	// roll-out, so that every daemon has reached that point: a share of the roll-out's
	// duration that leaves as much before the deadline to a version that was cleared late.
	maxSettleTime = 1_500 * clock.Millis(1)
	settleShare   = 0.1
)

// Recorder writes the stage of a roll-out to the store.
type Recorder interface {
	// Record replaces the recorded stage. Returns rowstore.ErrConflict if the record has
	// changed since r was read, and otherwise the errors of rowstore.Store's Commit.
	Record(ctx context.Context, r fleet.Rollout, stage fleet.Stage) error
}

// CanaryRouter sends requests to a canary version.
type CanaryRouter interface {
	// StopCanary stops this daemon's requests to the target of the roll-out, before the
	// roll-back is recorded.
	StopCanary(r fleet.Rollout)
	// SetPlan replaces the plan by which this daemon sends requests to the target.
	SetPlan(r fleet.Rollout, p rollout.Plan)
}

// Controller advances the roll-outs of the view. Not safe for concurrent use.
type Controller struct {
	log          hclog.Logger
	clock        clock.Clock
	host         string
	view         func() *fleet.View
	peerStats    *peerstats.Aggregator
	canaryRouter CanaryRouter
	recorder     Recorder
	allowance    rollout.Allowance
	metrics      *Metrics
	ownLoads     func() map[string]loadbalance.Load // this daemon's, by server ID

	dueSince map[attemptKey]clock.Millis // when a stage became due or was last attempted
	states   map[int64]*rolloutState     // by order version
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
	Log          hclog.Logger
	Clock        clock.Clock
	Host         string // name of this daemon's host
	View         func() *fleet.View
	PeerStats    *peerstats.Aggregator
	CanaryRouter CanaryRouter
	Recorder     Recorder
	Allowance    rollout.Allowance // of a bad version's requests
	Metrics      *Metrics
	OwnLoads     func() map[string]loadbalance.Load // this daemon's in-flight requests by server ID
}

// New returns a controller that has not evaluated any roll-out.
func New(c Config) *Controller {
	return &Controller{
		log: c.Log, clock: c.Clock, host: c.Host, view: c.View, peerStats: c.PeerStats, canaryRouter: c.CanaryRouter,
		recorder: c.Recorder, allowance: c.Allowance, metrics: c.Metrics, ownLoads: c.OwnLoads,
		dueSince: make(map[attemptKey]clock.Millis),
		states:   make(map[int64]*rolloutState),
	}
}

// Run evaluates the roll-outs periodically until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	clock.Every(ctx, evaluationPeriod, func() {
		v := c.view()
		maps.DeleteFunc(c.states, func(order int64, _ *rolloutState) bool { return !isOrdered(v, order) })
		for _, r := range v.Rollouts {
			if r.Stage == fleet.Ordered || r.Stage == fleet.Running || r.RecordLost {
				c.evaluate(ctx, v, r)
			}
		}
	})
}

// isOrdered reports whether the order is, or was renumbered to, one of the view's roll-outs.
func isOrdered(v *fleet.View, order int64) bool {
	for _, r := range v.Rollouts {
		if order == r.OrderVersion || order == r.RenumberedFrom {
			return true
		}
	}
	return false
}

// evaluate stops the canary if it is bad, and records the next stage if it is due and
// the daemons of lower rank have not recorded it.
func (c *Controller) evaluate(ctx context.Context, v *fleet.View, r fleet.Rollout) {
	state := c.stateOf(r)
	if r.Stage != fleet.Completed && r.Stage != fleet.RolledBack {
		c.judge(r, state)
	}
	stage, due := c.nextStage(v, r, state)
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
	if now-since < recordDelay(stage, v.Rank(r.Pool, c.host)) {
		return
	}
	c.dueSince[key] = now // a failed attempt is retried after the same delay
	recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := c.recorder.Record(recordCtx, r, stage)
	switch {
	case err == nil:
		c.log.Info("roll-out stage recorded", "pool", r.Pool, "target", r.Target, "from", r.Stage.String(), "to", stage.String(),
			"reason", state.reason, "risk", state.risk.Expected, "progress", r.Progress(now))
		c.metrics.countStage(r.Pool, stage, state.reason)
	case errors.Is(err, rowstore.ErrConflict):
		c.log.Info("roll-out record was changed by another daemon", "pool", r.Pool, "to", stage.String())
	default:
		c.log.Warn("failed to record roll-out stage", "pool", r.Pool, "to", stage.String(), "error", err.Error())
	}
}

// recordDelay returns how long a daemon of the rank waits before it records a stage that is
// due. The first ranks of a roll-back follow each other closely; the others come later, so
// that hundreds of daemons don't write at once.
func recordDelay(stage fleet.Stage, rank int) clock.Millis {
	if stage != fleet.RolledBack {
		return clock.Millis(rank) * rankDelay
	}
	if rank <= closeRanks {
		return clock.Millis(rank) * rollBackRankDelay
	}
	return closeRanks*rollBackRankDelay + clock.Millis(rank-closeRanks)*lateRankDelay
}

// nextStage returns the stage to be recorded now, and whether there is one.
func (c *Controller) nextStage(v *fleet.View, r fleet.Rollout, state *rolloutState) (fleet.Stage, bool) {
	now := c.clock.Now()
	switch {
	case r.Stage == fleet.Completed || r.Stage == fleet.RolledBack:
		return r.Stage, r.RecordLost
	case state.verdict == rollout.Bad:
		return fleet.RolledBack, true
	case r.RecordLost:
		return r.Stage, true
	case r.Stage == fleet.Ordered:
		return fleet.Running, true
	case state.verdict != rollout.Cleared || now < c.fullShareAt(r, state)+settleTime(r):
		return 0, false
	case state.speaksAgainst() || !targetInService(v, r):
		// Answers since the verdict count too, of which this daemon may know more.
		return 0, false
	}
	return fleet.Completed, r.Progress(now) >= completeBy || !c.othersBusy(v, r)
}

// settleTime returns the minimum time between sending all requests to the target and
// completing the roll-out.
func settleTime(r fleet.Rollout) clock.Millis {
	return min(maxSettleTime, clock.Millis(settleShare*float64(r.Duration)))
}

// fullShareAt returns when the cleared target gets all requests.
func (c *Controller) fullShareAt(r fleet.Rollout, state *rolloutState) clock.Millis {
	progress := rollout.HeldUntil()
	if state.judged {
		progress = rollout.FullShareProgress()
	}
	return max(r.StartedAt+clock.Millis(float64(r.Duration)*progress), state.clearedAt)
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
