package rolloutcontrol

import (
	"context"
	"fmt"
	"testing"

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

// weather is how the store treats a write.
type weather int

const (
	calm weather = iota
	down
	lostAnswer // done, not answered
	late       // not answered, done some time later if its condition still holds
)

// stageStore holds the record of one roll-out.
type stageStore struct {
	weather weather
	version int64
	stage   fleet.Stage
	history []fleet.Stage
	pending []func()
}

func (s *stageStore) apply(r fleet.Rollout, to fleet.Stage) error {
	if r.RecordVersion != s.version {
		return rowstore.ErrConflict
	}
	s.version++
	s.stage = to
	s.history = append(s.history, to)
	return nil
}

// Record implements Recorder.
func (s *stageStore) Record(_ context.Context, r fleet.Rollout, to fleet.Stage) error {
	switch s.weather {
	case down:
		return rowstore.ErrUnavailable
	case lostAnswer:
		_ = s.apply(r, to)
		return rowstore.ErrUnknown
	case late:
		s.pending = append(s.pending, func() { _ = s.apply(r, to) })
		return rowstore.ErrUnknown
	case calm:
	}
	return s.apply(r, to)
}

// catchUp does the writes that were late.
func (s *stageStore) catchUp() {
	for _, write := range s.pending {
		write()
	}
	s.pending = nil
}

type nothing struct{}

func (nothing) StopCanary(fleet.Rollout) {}

// crew is some daemons' pilots with one store and one clock.
type crew struct {
	clock  *clock.Manual
	store  *stageStore
	boards []*peerstats.Aggregator
	pilots []*Controller
	views  []*fleet.View
	trial  rollout.AnswerStats
	rest   rollout.AnswerStats
}

const (
	began    = clock.Millis(10_000)
	duration = clock.Millis(24_000)
)

func newCrew(n int) *crew {
	c := &crew{clock: clock.NewManual(began), store: &stageStore{}}
	base := fleet.NewView()
	for _, version := range []string{"v1", "v2"} {
		base = base.WithServer(fleet.Server{ID: version, Pool: "text", Version: version, DataCentre: "dc-1"}, 0)
	}
	for i := range n {
		base = base.WithHost(fmt.Sprintf("host-%d", i), fleet.Host{Address: "127.0.0.1:1"})
	}
	for i := range n {
		b := peerstats.New(c.clock)
		c.boards = append(c.boards, b)
		c.views = append(c.views, base)
		c.pilots = append(c.pilots, New(Config{
			Log: hclog.NewNullLogger(), Clock: c.clock, Host: fmt.Sprintf("host-%d", i),
			View: func() *fleet.View { return c.views[i] }, PeerStats: b, CanaryStopper: nothing{}, Recorder: c.store,
			OwnLoads: func() map[string]loadbalance.Load { return nil },
		}))
	}
	return c
}

// hear brings a daemon what the store holds.
func (c *crew) hear(i int) {
	c.views[i] = c.views[i].WithRollout(fleet.Rollout{
		Pool: "text", Target: "v2", Duration: duration, StartedAt: began, OrderVersion: 7, Stage: c.store.stage, RecordVersion: c.store.version,
	})
}

// look lets a daemon judge by what all have counted and take a step.
func (c *crew) look(i int) {
	c.boards[i].SetOwn(nil, map[versionrouting.AnswerStatsKey]rollout.AnswerStats{
		{Pool: "text", OrderVersion: 7, Canary: true, Route: "draft"}: c.trial,
		{Pool: "text", OrderVersion: 7, Route: "draft"}:               c.rest,
	}, nil)
	for _, r := range c.views[i].Rollouts {
		if r.Stage == fleet.Ordered || r.Stage == fleet.Running {
			c.pilots[i].look(context.Background(), c.views[i], r)
		}
	}
}

// run lets the daemons that are there look at every period until the instant.
func (c *crew) run(until clock.Millis, there ...int) {
	for c.clock.Now() < until {
		for _, i := range there {
			c.hear(i)
			c.look(i)
		}
		c.clock.Advance(period)
	}
}

// TestGoodVersion completes a good version in time, whichever daemon is there.
func TestGoodVersion(t *testing.T) {
	cases := map[string][]int{"all": {0, 1, 2}, "one": {2}, "another": {0}}
	for name, there := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCrew(3)
			c.rest = rollout.AnswerStats{Good: 200}
			c.trial = rollout.AnswerStats{Good: 30}
			c.run(began+duration, there...)
			assert.DeepEqual(t, c.store.history, []fleet.Stage{fleet.Running, fleet.Completed})
		})
	}
}

// TestBadVersion rolls a bad version back soon after its answers show it, and at
// the latest before a fiftieth bad answer and five seconds.
func TestBadVersion(t *testing.T) {
	c := newCrew(3)
	c.rest = rollout.AnswerStats{Good: 200}
	c.run(began+5_000, 0, 1, 2)
	for i := range 12 {
		c.trial = c.trial.WithAnswer(fmt.Sprintf("engine-%d", i%4), i%2 == 0)
	}
	c.run(began+10_000, 0, 1, 2)
	assert.DeepEqual(t, c.store.history, []fleet.Stage{fleet.Running, fleet.RolledBack})
}

// TestBadOnAllRoutes closes a version whose few answers on each route show too little
// by themselves.
func TestBadOnAllRoutes(t *testing.T) {
	for routes, want := range map[int]fleet.Stage{1: fleet.Running, 3: fleet.RolledBack} {
		c := newCrew(1)
		c.store.stage = fleet.Running
		counted := make(map[versionrouting.AnswerStatsKey]rollout.AnswerStats)
		for i := range routes {
			route := fmt.Sprintf("route-%d", i)
			trial := rollout.AnswerStats{Good: 5}.WithAnswer("server-1", true).WithAnswer("server-2", true)
			counted[versionrouting.AnswerStatsKey{Pool: "text", OrderVersion: 7, Canary: true, Route: route}] = trial
			counted[versionrouting.AnswerStatsKey{Pool: "text", OrderVersion: 7, Route: route}] = rollout.AnswerStats{Good: 95, Bad: 5}
		}
		c.boards[0].SetOwn(nil, counted, nil)
		c.hear(0)
		c.pilots[0].look(context.Background(), c.views[0], c.views[0].Rollouts["text"])
		assert.Equal(t, c.store.stage, want, "%d routes", routes)
	}
}

// TestTurnsBadLate rolls back a version that turned bad after many good answers.
func TestTurnsBadLate(t *testing.T) {
	c := newCrew(2)
	c.rest, c.trial = rollout.AnswerStats{Good: 900}, rollout.AnswerStats{Good: 300}
	c.run(began+16_000, 0, 1)
	for i := range 16 {
		c.trial = c.trial.WithAnswer(fmt.Sprintf("engine-%d", i%4), i%2 == 0)
	}
	c.run(began+18_000, 0, 1)
	assert.Equal(t, c.store.stage, fleet.RolledBack)
}

// TestNothingToMoveTo leaves a roll-out running whose version has no servers.
func TestNothingToMoveTo(t *testing.T) {
	c := newCrew(1)
	c.views[0] = c.views[0].WithoutServer("v2")
	c.run(began+duration, 0)
	assert.DeepEqual(t, c.store.history, []fleet.Stage{fleet.Running})
}

// TestStagesInAnyWeather has daemons hear late, vanish and race while the store is
// down, loses answers or does writes late. A stage is recorded once, in order, and
// a bad version is never completed.
func TestStagesInAnyWeather(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "daemons")
		c := newCrew(n)
		c.rest = rollout.AnswerStats{Good: 300}
		badFrom := began + clock.Millis(rapid.IntRange(0, 40_000).Draw(t, "bad from"))
		for c.clock.Now() < began+duration+10_000 {
			c.store.weather = rapid.SampledFrom([]weather{calm, calm, calm, down, lostAnswer, late}).Draw(t, "weather")
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			if rapid.Bool().Draw(t, "hears") {
				c.hear(i)
			}
			if c.clock.Now() >= badFrom {
				c.trial = rollout.AnswerStats{Bad: 20, BadServers: 15}
			}
			c.look(i)
			if rapid.IntRange(0, 4).Draw(t, "late writes come") == 0 {
				c.store.catchUp()
			}
			c.clock.Advance(period)
		}
		c.store.weather = calm
		c.store.catchUp()
		checkHistory(t, c.store.history, badFrom)
	})
}

func checkHistory(t *rapid.T, history []fleet.Stage, badFrom clock.Millis) {
	for i, stage := range history {
		switch stage {
		case fleet.Running:
			if i != 0 {
				t.Fatalf("history %v", history)
			}
		case fleet.Completed:
			if i != len(history)-1 || badFrom <= began+clock.Millis(float64(duration)*rollout.FullShareProgress()) {
				t.Fatalf("history %v, bad from %d", history, badFrom)
			}
		case fleet.RolledBack:
			if i != len(history)-1 {
				t.Fatalf("history %v", history)
			}
		case fleet.Ordered:
			t.Fatalf("history %v", history)
		}
	}
}
