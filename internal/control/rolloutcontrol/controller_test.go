package rolloutcontrol

import (
	"context"
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
)

// storeFault is how the store handles a write.
type storeFault int

const (
	noFault storeFault = iota
	unavailable
	lostResponse // the write is applied without a response
	delayedWrite // no response; the write is applied later if its condition still holds
)

// fakeRecorder is a Recorder that holds the record of one roll-out.
type fakeRecorder struct {
	fault   storeFault
	version int64
	stage   fleet.Stage
	history []fleet.Stage
	pending []func()
}

func (f *fakeRecorder) apply(r fleet.Rollout, stage fleet.Stage) error {
	if r.RecordVersion != f.version {
		return rowstore.ErrConflict
	}
	f.version++
	f.stage = stage
	f.history = append(f.history, stage)
	return nil
}

// Record implements Recorder.
func (f *fakeRecorder) Record(_ context.Context, r fleet.Rollout, stage fleet.Stage) error {
	switch f.fault {
	case unavailable:
		return rowstore.ErrUnavailable
	case lostResponse:
		_ = f.apply(r, stage)
		return rowstore.ErrOutcomeUnknown
	case delayedWrite:
		f.pending = append(f.pending, func() { _ = f.apply(r, stage) })
		return rowstore.ErrOutcomeUnknown
	case noFault:
	}
	return f.apply(r, stage)
}

// applyPending applies the delayed writes.
func (f *fakeRecorder) applyPending() {
	for _, write := range f.pending {
		write()
	}
	f.pending = nil
}

// fakeCanaryRouter remembers the last plan.
type fakeCanaryRouter struct{ plan rollout.Plan }

func (*fakeCanaryRouter) StopCanary(fleet.Rollout) {}

func (r *fakeCanaryRouter) SetPlan(_ fleet.Rollout, p rollout.Plan) { r.plan = p }

// failing returns the stats of that many bad answers of four servers.
func failing(n int) rollout.AnswerStats {
	var s rollout.AnswerStats
	for i := range n {
		s = s.WithAnswer(fmt.Sprintf("engine-%d", i%4), true)
	}
	return s
}

// sound returns the stats of that many good answers.
func sound(n int) rollout.AnswerStats {
	var s rollout.AnswerStats
	for i := range n {
		s = s.WithAnswer(fmt.Sprintf("engine-%d", i%4), false)
	}
	return s
}

// cluster holds the controllers of several daemons with a common store and clock. The
// answer statistics are those of the canary and of the baseline on one route.
type cluster struct {
	clock       *clock.Manual
	recorder    *fakeRecorder
	peerStats   []*peerstats.Aggregator
	controllers []*Controller
	views       []*fleet.View
	routers     []*fakeCanaryRouter
	canary      rollout.AnswerStats
	baseline    rollout.AnswerStats
	duration    clock.Millis // of the roll-out
}

const (
	startedAt = clock.Millis(10_000)
	duration  = clock.Millis(24_000)
)

func newCluster(n int) *cluster {
	c := &cluster{clock: clock.NewManual(startedAt), recorder: &fakeRecorder{}, duration: duration}
	view := fleet.NewView()
	for _, version := range []string{"v1", "v2"} {
		view = view.WithServer(fleet.Server{ID: version, Pool: "text", Version: version, DataCentre: "dc-1"}, 0)
	}
	for i := range n {
		view = view.WithHost(fmt.Sprintf("host-%d", i), fleet.Host{Address: "127.0.0.1:1"})
	}
	for i := range n {
		stats := peerstats.New(c.clock)
		c.peerStats = append(c.peerStats, stats)
		c.views = append(c.views, view)
		c.routers = append(c.routers, &fakeCanaryRouter{})
		c.controllers = append(c.controllers, New(Config{
			Log: hclog.NewNullLogger(), Clock: c.clock, Host: fmt.Sprintf("host-%d", i),
			View: func() *fleet.View { return c.views[i] }, PeerStats: stats, CanaryRouter: c.routers[i], Recorder: c.recorder,
			Allowance: rollout.Allowance{Share: exposedShare, Slack: exposedSlack}, Metrics: NewMetrics(metrics.NewSet()),
			OwnLoads: func() map[string]loadbalance.Load { return nil },
		}))
	}
	return c
}

// refreshView updates a daemon's view with the roll-out's record.
func (c *cluster) refreshView(i int) {
	c.views[i] = c.views[i].WithRollout(fleet.Rollout{
		Pool: "text", Target: "v2", Duration: c.duration, StartedAt: startedAt, OrderVersion: 7, Stage: c.recorder.stage, RecordVersion: c.recorder.version,
	})
}

// evaluate runs one evaluation round of a daemon with the current answer statistics.
func (c *cluster) evaluate(i int) {
	c.peerStats[i].SetOwn(nil, map[versionrouting.AnswerStatsKey]rollout.AnswerStats{
		{Pool: "text", OrderVersion: 7, Canary: true, Route: "draft"}: c.canary,
		{Pool: "text", OrderVersion: 7, Route: "draft"}:               c.baseline,
	}, nil)
	for _, r := range c.views[i].Rollouts {
		if r.Stage == fleet.Ordered || r.Stage == fleet.Running {
			c.controllers[i].evaluate(context.Background(), c.views[i], r)
		}
	}
}

// run runs evaluation rounds of the given daemons until the given time.
func (c *cluster) run(until clock.Millis, daemons ...int) {
	for c.clock.Now() < until {
		for _, i := range daemons {
			c.refreshView(i)
			c.evaluate(i)
		}
		c.clock.Advance(evaluationPeriod)
	}
}

// TestGoodVersionCompletes checks that a good version is completed in time, whichever
// daemons are running.
func TestGoodVersionCompletes(t *testing.T) {
	cases := map[string][]int{"all": {0, 1, 2}, "one": {2}, "another": {0}}
	for name, daemons := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3)
			c.baseline, c.canary = sound(200), sound(30)
			c.run(startedAt+duration, daemons...)
			assert.DeepEqual(t, c.recorder.history, []fleet.Stage{fleet.Running, fleet.Completed})
		})
	}
}

// TestBadVersionRollsBack checks that a bad version is rolled back within five seconds
// and before its fiftieth bad answer.
func TestBadVersionRollsBack(t *testing.T) {
	c := newCluster(3)
	c.baseline = sound(200)
	c.run(startedAt+5_000, 0, 1, 2)
	for i := range 12 {
		c.canary = c.canary.WithAnswer(fmt.Sprintf("engine-%d", i%4), i%2 == 0)
	}
	c.run(startedAt+10_000, 0, 1, 2)
	assert.DeepEqual(t, c.recorder.history, []fleet.Stage{fleet.Running, fleet.RolledBack})
}

// TestBadOnAllRoutesRollsBack checks that a version is rolled back by its answers on all
// routes together if those on each route are too few for a decision.
func TestBadOnAllRoutesRollsBack(t *testing.T) {
	for routes, want := range map[int]fleet.Stage{1: fleet.Running, 3: fleet.RolledBack} {
		c := newCluster(1)
		c.recorder.stage = fleet.Running
		stats := make(map[versionrouting.AnswerStatsKey]rollout.AnswerStats)
		for i := range routes {
			route := fmt.Sprintf("route-%d", i)
			canary := rollout.AnswerStats{}.WithAnswer("server-1", true).WithAnswer("server-2", true)
			for i := range 5 {
				canary = canary.WithAnswer(fmt.Sprintf("server-%d", 1+i%2), false)
			}
			stats[versionrouting.AnswerStatsKey{Pool: "text", OrderVersion: 7, Canary: true, Route: route}] = canary
			stats[versionrouting.AnswerStatsKey{Pool: "text", OrderVersion: 7, Route: route}] = sound(95).Plus(failing(5))
		}
		c.peerStats[0].SetOwn(nil, stats, nil)
		c.refreshView(0)
		c.controllers[0].evaluate(context.Background(), c.views[0], c.views[0].Rollouts["text"])
		assert.Equal(t, c.recorder.stage, want, "%d routes", routes)
	}
}

// TestVersionTurningBadLateRollsBack checks that a version is rolled back if it becomes
// bad after many good answers, which outweigh the bad ones in the total.
func TestVersionTurningBadLateRollsBack(t *testing.T) {
	c := newCluster(2)
	c.baseline, c.canary = sound(900), sound(300)
	c.run(startedAt+16_000, 0, 1)
	for i := range 16 {
		c.canary = c.canary.WithAnswer(fmt.Sprintf("engine-%d", i%4), i%2 == 0)
	}
	c.run(startedAt+18_000, 0, 1)
	assert.Equal(t, c.recorder.stage, fleet.RolledBack)
}

// TestTargetWithoutServersKeepsRunning checks that a roll-out is not completed while its
// target version has no servers.
func TestTargetWithoutServersKeepsRunning(t *testing.T) {
	c := newCluster(1)
	c.views[0] = c.views[0].WithoutServer("v2")
	c.run(startedAt+duration, 0)
	assert.DeepEqual(t, c.recorder.history, []fleet.Stage{fleet.Running})
}

// TestStagesUnderStoreFaults checks that each stage is recorded once and in order, and
// that a bad version is never completed. Daemons have outdated views, stop and race
// while the store is unavailable, loses responses or delays writes.
func TestStagesUnderStoreFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "daemons")
		c := newCluster(n)
		c.baseline = sound(300)
		badFrom := startedAt + clock.Millis(rapid.IntRange(0, 40_000).Draw(t, "bad from"))
		for c.clock.Now() < startedAt+duration+10_000 {
			c.recorder.fault = rapid.SampledFrom([]storeFault{noFault, noFault, noFault, unavailable, lostResponse, delayedWrite}).Draw(t, "store fault")
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			if rapid.Bool().Draw(t, "view is refreshed") {
				c.refreshView(i)
			}
			if c.clock.Now() >= badFrom {
				c.canary = failing(20)
			}
			c.evaluate(i)
			if rapid.IntRange(0, 4).Draw(t, "delayed writes are applied") == 0 {
				c.recorder.applyPending()
			}
			c.clock.Advance(evaluationPeriod)
		}
		c.recorder.fault = noFault
		c.recorder.applyPending()
		checkHistory(t, c.recorder.history, badFrom)
	})
}

// checkHistory fails if the stages are repeated or out of order, or if the version was
// completed although it became bad before it received all requests.
func checkHistory(t *rapid.T, history []fleet.Stage, badFrom clock.Millis) {
	for i, stage := range history {
		switch stage {
		case fleet.Running:
			if i != 0 {
				t.Fatalf("running recorded after another stage: history %v", history)
			}
		case fleet.Completed:
			if i != len(history)-1 || badFrom <= startedAt+clock.Millis(float64(duration)*rollout.FullShareProgress()) {
				t.Fatalf("completed recorded before the last stage or for a bad version: history %v, bad from %d", history, badFrom)
			}
		case fleet.RolledBack:
			if i != len(history)-1 {
				t.Fatalf("stage recorded after the roll-back: history %v", history)
			}
		case fleet.Ordered:
			t.Fatalf("ordered recorded: history %v", history)
		}
	}
}

// TestVersionSlowOnIdleServersRollsBack checks that a version whose streams are twice as
// slow is rolled back, although its idle servers answer sooner than the baseline's.
func TestVersionSlowOnIdleServersRollsBack(t *testing.T) {
	for pace, want := range map[clock.Millis]fleet.Stage{24: fleet.Running, 47: fleet.RolledBack} {
		c := newCluster(1)
		c.baseline = rollout.AnswerStats{Good: 200, LatencySamples: 200, LogSlownessSum: 100}
		c.canary = rollout.AnswerStats{Good: 20, LatencySamples: 20, LogSlownessSum: -10}
		for i := range 60 {
			c.baseline = c.baseline.WithPace(fmt.Sprintf("old-%d", i%9), rollout.NewPaceClass("m", i%12), 23+clock.Millis(i%10))
		}
		for i := range 20 {
			c.canary = c.canary.WithPace(fmt.Sprintf("new-%d", i%9), rollout.NewPaceClass("m", i%3), pace)
		}
		c.run(startedAt+4_000, 0)
		assert.Equal(t, c.recorder.stage, want, "pause of %d ms", pace)
	}
}

// TestFewAnswersHoldTheCanary checks that a version is held back while its answers are too
// few for a verdict, and completed in time all the same.
func TestFewAnswersHoldTheCanary(t *testing.T) {
	cases := map[string]struct {
		answers     int
		held        bool
		completedBy clock.Millis
	}{
		"few":    {30, true, startedAt + duration*9/10},
		"enough": {90, false, startedAt + duration*8/10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3)
			c.baseline, c.canary = sound(200), sound(tc.answers)
			c.run(startedAt+duration*7/10, 0, 1, 2)
			for _, r := range c.routers {
				assert.Equal(t, !r.plan.HandsOver(0.7), tc.held)
			}
			c.run(startedAt+duration*79/100, 0, 1, 2)
			assert.Equal(t, c.recorder.stage == fleet.Completed, !tc.held)
			c.run(tc.completedBy, 0, 1, 2)
			assert.Equal(t, c.recorder.stage, fleet.Completed)
		})
	}
}

// TestShortRolloutCompletesInTime checks that a version that is cleared late is completed
// two evaluation periods after 0.9 of its time at the latest, however short that is. Guards
// against a good version whose completion is seen after the deadline.
func TestShortRolloutCompletesInTime(t *testing.T) {
	for _, length := range []clock.Millis{8_000, 10_000, 12_000, 15_000, 24_000} {
		c := newCluster(3)
		c.duration = length
		c.baseline, c.canary = sound(200), sound(30)
		c.run(startedAt+length*8/10, 0, 1, 2)
		assert.Equal(t, c.recorder.stage, fleet.Running, "%d ms", length)
		c.run(startedAt+length*9/10+2*evaluationPeriod, 0, 1, 2)
		assert.Equal(t, c.recorder.stage, fleet.Completed, "%d ms", length)
	}
}

// TestEvidenceAfterVerdictPreventsCompletion has a version fail after it was cleared, too seldom
// to be found bad. Guards against a version that is completed because an earlier verdict, or one
// of a daemon that knows less, is still in force.
func TestEvidenceAfterVerdictPreventsCompletion(t *testing.T) {
	c := newCluster(3)
	c.baseline, c.canary = sound(200), sound(30)
	c.run(startedAt+duration*83/100, 0, 1, 2)
	for _, controller := range c.controllers {
		assert.Equal(t, controller.states[7].verdict, rollout.Cleared)
	}
	for i := range lateErrors {
		c.canary = c.canary.WithError(fmt.Sprintf("engine-%d", i))
	}
	c.run(startedAt+duration*96/100, 0, 1, 2)
	for _, controller := range c.controllers {
		state := controller.states[7]
		assert.Equal(t, state.verdict, rollout.Cleared, "not found bad")
		assert.Assert(t, state.risk.Expected > 1, "risk %v", state.risk.Expected)
	}
	assert.Equal(t, c.recorder.stage, fleet.Running)
	c.run(startedAt+duration, 0, 1, 2)
	assert.Equal(t, c.recorder.stage, fleet.RolledBack)
}

// lateErrors speak against a version with 30 good answers without proving it bad.
const lateErrors = 2

// TestLoneDaemonRollsBackInTime checks that a version is rolled back within a second if
// only the last of seven daemons has found it bad.
func TestLoneDaemonRollsBackInTime(t *testing.T) {
	c := newCluster(7)
	c.recorder.stage = fleet.Running
	last := 0
	for i, controller := range c.controllers {
		if c.views[i].Rank("text", controller.host) == len(c.controllers)-1 {
			last = i
		}
	}
	c.baseline, c.canary = sound(200), failing(12)
	c.run(startedAt+1_000, last)
	assert.DeepEqual(t, c.recorder.history, []fleet.Stage{fleet.RolledBack})
}

// TestUnprovenVersionIsNotCompleted guards against a version that is completed because
// nothing was found, although nothing could be: it gave no answers, or too few. A service
// without requests is completed, since a bad version may get all of them.
func TestUnprovenVersionIsNotCompleted(t *testing.T) {
	cases := map[string]struct {
		canary, baseline int
		want             fleet.Stage
	}{
		"no answers":      {0, 200, fleet.Running},
		"too few answers": {6, 200, fleet.Running},
		"enough answers":  {30, 200, fleet.Completed},
		"no requests":     {0, 0, fleet.Completed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3)
			c.baseline, c.canary = sound(tc.baseline), sound(tc.canary)
			c.baseline.Sent, c.canary.Sent = tc.baseline, tc.canary
			c.run(startedAt+duration+5_000, 0, 1, 2)
			assert.Equal(t, c.recorder.stage, tc.want)
			c.run(startedAt+2*duration+5_000, 0, 1, 2)
			assert.Assert(t, c.recorder.stage != fleet.Running, "ends after twice its time")
		})
	}
}

// TestVerdictIsShared guards against a version that one daemon has found bad and another one
// completes, whose reports are older.
func TestVerdictIsShared(t *testing.T) {
	s := newService(serviceDay{perSecond: 20, duration: 10_000}, 1)
	s.recorder.stage = fleet.Running
	s.evaluate()
	s.routers[3].StopCanary(s.view.Rollouts["desk"])
	s.report() // to the leader
	s.report() // to the others
	for i, c := range s.control {
		c.evaluate(context.Background(), s.view, s.view.Rollouts["desk"])
		assert.Equal(t, c.states[7].verdict, rollout.Bad, "daemon %d", i)
	}
}
