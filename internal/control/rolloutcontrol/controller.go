// Package pilot drives roll-outs. Every daemon runs one; whichever is there takes
// the next step, under the condition that no other has.
package rolloutcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// period of looking at the roll-outs.
	period = 200 * clock.Millis(1)
	// rankDelay is how much longer each further daemon waits before it takes a
	// step that the one before it should have taken.
	rankDelay = 400 * clock.Millis(1)
	// recordLimit bounds one call to the store.
	recordLimit = 1 * time.Second
	// doneBy is the part of the time by which a good roll-out is completed though
	// requests still run on the other servers.
	doneBy = 0.9
	// settleTime is how long a roll-out has sent everything to the new version
	// before it is completed, so that all daemons have done so.
	settleTime = 1_500 * clock.Millis(1)
	// windows is how many looks back the newest answers are judged by themselves.
	windows = 15
)

// Recorder writes the stage of a roll-out to the store.
type Recorder interface {
	// Record replaces the recorded stage, under the condition that the roll-out is
	// still as given. Its errors are those of rowstore.Store's Commit.
	Record(ctx context.Context, r fleet.Rollout, to fleet.Stage) error
}

// CanaryStopper ends a version's trial on this daemon.
type CanaryStopper interface {
	StopCanary(r fleet.Rollout)
}

// Controller belongs to one goroutine.
type Controller struct {
	log      hclog.Logger
	clock    clock.Clock
	self     string
	views    func() *fleet.View
	board    *peerstats.Aggregator
	closer   CanaryStopper
	recorder Recorder
	own      func() map[string]loadbalance.Load // of this daemon, by server

	due     map[string]clock.Millis                   // since when a step is due, by pool and stage
	history map[int64][]map[string]rollout.Comparison // by order, the last looks
	bad     map[int64]bool
}

// Config is what a pilot works with.
type Config struct {
	Log           hclog.Logger
	Clock         clock.Clock
	Host          string
	View          func() *fleet.View
	PeerStats     *peerstats.Aggregator
	CanaryStopper CanaryStopper
	Recorder      Recorder
	OwnLoads      func() map[string]loadbalance.Load
}

// New returns a pilot.
func New(c Config) *Controller {
	return &Controller{
		log: c.Log, clock: c.Clock, self: c.Host, views: c.View, board: c.PeerStats, closer: c.CanaryStopper,
		recorder: c.Recorder, own: c.OwnLoads,
		due:     make(map[string]clock.Millis),
		history: make(map[int64][]map[string]rollout.Comparison),
		bad:     make(map[int64]bool),
	}
}

// Run looks at the roll-outs until the context ends.
func (p *Controller) Run(ctx context.Context) {
	clock.Every(ctx, period, func() {
		v := p.views()
		for _, r := range v.Rollouts {
			if r.Stage == fleet.Ordered || r.Stage == fleet.Running {
				p.look(ctx, v, r)
			}
		}
	})
}

// look judges the roll-out and takes the step that is due.
func (p *Controller) look(ctx context.Context, v *fleet.View, r fleet.Rollout) {
	if !p.bad[r.OrderVersion] && p.judge(r) {
		p.bad[r.OrderVersion] = true
		p.closer.StopCanary(r)
	}
	to, due := p.next(v, r)
	if !due {
		return
	}
	now := p.clock.Now()
	key := r.Pool + " " + to.String()
	since, waits := p.due[key]
	if !waits {
		p.due[key] = now
		since = now
	}
	if now-since < clock.Millis(p.rank(v, r.Pool))*rankDelay {
		return
	}
	p.due[key] = now // a failed step is due again after the same wait
	recordCtx, cancel := context.WithTimeout(ctx, recordLimit)
	defer cancel()
	err := p.recorder.Record(recordCtx, r, to)
	switch {
	case err == nil:
		p.log.Info("roll-out step recorded", "pool", r.Pool, "target", r.Target, "from", r.Stage.String(), "to", to.String())
	case errors.Is(err, rowstore.ErrConflict):
		p.log.Info("roll-out step was taken by another", "pool", r.Pool, "to", to.String())
	default:
		p.log.Warn("roll-out step isn't recorded", "pool", r.Pool, "to", to.String(), "error", err.Error())
	}
}

// next returns the stage that the roll-out should be recorded in now.
func (p *Controller) next(v *fleet.View, r fleet.Rollout) (fleet.Stage, bool) {
	now := p.clock.Now()
	switch {
	case p.bad[r.OrderVersion]:
		return fleet.RolledBack, true
	case r.Stage == fleet.Ordered:
		return fleet.Running, true
	case now < r.StartedAt+clock.Millis(float64(r.Duration)*rollout.FullShareProgress())+settleTime:
		return 0, false
	case !serves(v, r):
		return 0, false
	}
	return fleet.Completed, r.Progress(now) >= doneBy || !p.restBusy(v, r)
}

// serves tells whether the new version has servers in service.
func serves(v *fleet.View, r fleet.Rollout) bool {
	entries := v.Pool(r.Pool)
	for i := range entries {
		if entries[i].Version == r.Target && v.InService(&entries[i]) {
			return true
		}
	}
	return false
}

// restBusy tells whether requests still run on the servers of other versions.
func (p *Controller) restBusy(v *fleet.View, r fleet.Rollout) bool {
	others, own := p.board.PeerLoads(), p.own()
	for _, e := range v.Pool(r.Pool) {
		if e.Version != r.Target && others[e.ID].Calls+own[e.ID].Calls > 0 {
			return true
		}
	}
	return false
}

// allRoutes stands for the routes of a pool together.
const allRoutes = ""

// judge tells whether the version on trial is bad on some route, by all answers and
// by the newest ones.
func (p *Controller) judge(r fleet.Rollout) bool {
	routes := p.board.CompareVersions(r.Pool, r.OrderVersion)
	// What is wrong on every route shows soonest in all of them together.
	var together rollout.Comparison
	for _, c := range routes {
		together = together.Plus(c)
	}
	routes[allRoutes] = together
	past := p.history[r.OrderVersion]
	for route, c := range routes {
		if found := c.Evaluate(); found != rollout.Healthy {
			p.logBad(r, route, found, c)
			return true
		}
		for _, before := range past {
			newest := c.Since(before[route])
			if found := newest.EvaluateRecent(); found != rollout.Healthy {
				p.logBad(r, route, found, newest)
				return true
			}
		}
	}
	past = append(past, routes)
	p.history[r.OrderVersion] = past[max(len(past)-windows, 0):]
	return false
}

func (p *Controller) logBad(r fleet.Rollout, route string, found rollout.Finding, c rollout.Comparison) {
	p.log.Warn("version found bad", "pool", r.Pool, "target", r.Target, "route", route, "finding", string(found),
		"trial_good", c.Canary.Good, "trial_bad", c.Canary.Bad, "rest_good", c.Baseline.Good, "rest_bad", c.Baseline.Bad,
		"trial_timed", c.Canary.LatencySamples, "trial_slowness", c.Canary.MeanSlowness(), "rest_timed", c.Baseline.LatencySamples, "rest_slowness", c.Baseline.MeanSlowness())
}

// rank returns the daemon's place in the order in which daemons step in for a pool.
func (p *Controller) rank(v *fleet.View, pool string) int {
	order := container.Rendezvous(pool, v.HostNames(), func(h string) string { return h })
	if at := slices.Index(order, p.self); at >= 0 {
		return at
	}
	return len(order)
}
