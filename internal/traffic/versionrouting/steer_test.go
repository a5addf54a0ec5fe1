package versionrouting

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
)

// daemon is one steer with its clock and view.
type daemon struct {
	clock *clock.Manual
	steer *Router
	view  *fleet.View
}

// rolling returns a daemon that heard of a roll-out to v2 of 24 s at 10,000 ms.
func rolling(stage fleet.Stage, keptElsewhere func(int64, uint64) bool) *daemon {
	if keptElsewhere == nil {
		keptElsewhere = func(int64, uint64) bool { return false }
	}
	c := clock.NewManual(10_000)
	v := fleet.NewView()
	for _, version := range []string{"v1", "v2"} {
		v = v.WithServer(fleet.Server{ID: version, Pool: "text", Version: version, DataCentre: "dc-1"}, 0)
	}
	v = v.WithRollout(fleet.Rollout{Pool: "text", Target: "v2", Duration: 24_000, StartedAt: 10_000, OrderVersion: 7, Stage: stage})
	return &daemon{clock: c, steer: New(c, 5_000, 0.15, keptElsewhere), view: v}
}

// runOn returns the versions that a request of the session may run on.
func (d *daemon) runOn(session string, failed bool) string {
	versions := d.steer.AllowedVersions(d.view, "text", &relay.Request{ID: "r-" + session, Session: session}, failed)
	on := ""
	for _, v := range []string{"v1", "v2"} {
		if versions == nil || versions(v) {
			on += v
		}
	}
	return on
}

// place lets a request of the session run where it may.
func (d *daemon) place(session string) string {
	on := d.runOn(session, false)
	d.steer.RecordPlacement(&relay.Request{Session: session}, &fleet.Entry{Server: fleet.Server{Pool: "text", Version: on}})
	return on
}

// due returns a session that the new version's first share covers.
func due() string {
	for i := 0; ; i++ {
		if s := fmt.Sprintf("session-%d", i); container.Point("v2", s) < 0.05 {
			return s
		}
	}
}

// notDue returns one that only the last step covers.
func notDue() string {
	for i := 0; ; i++ {
		if s := fmt.Sprintf("session-%d", i); container.Point("v2", s) > 0.95 {
			return s
		}
	}
}

// TestVersions tells where sessions run at each time of a roll-out.
func TestVersions(t *testing.T) {
	cases := map[string]struct {
		stage   fleet.Stage
		session string
		at      clock.Millis
		failed  bool
		want    string
	}{
		"due, right after the order":      {fleet.Running, due(), 10_500, false, "v1"},
		"due, in the first half":          {fleet.Running, due(), 15_000, false, "v2"},
		"due, in the first half, failed":  {fleet.Running, due(), 15_000, true, "v1"},
		"not due, in the first half":      {fleet.Running, notDue(), 15_000, false, "v1"},
		"not due, at the last step":       {fleet.Running, notDue(), 27_000, false, "v2"},
		"nobody has recorded a stage yet": {fleet.Ordered, due(), 15_000, false, "v2"},
		"completed":                       {fleet.Completed, notDue(), 15_000, false, "v2"},
		"rolled back":                     {fleet.RolledBack, due(), 27_000, false, "v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := rolling(c.stage, nil)
			d.clock.Advance(c.at - 10_000)
			assert.Equal(t, d.runOn(c.session, c.failed), c.want)
		})
	}
}

// TestSessionsKeepTheirVersion lets a session run before the order and go on in
// the first half, on the same daemon and on another.
func TestSessionsKeepTheirVersion(t *testing.T) {
	session := due()
	first := rolling(fleet.Running, nil)
	assert.Equal(t, first.place(session), "v1", "the trial hasn't begun")
	first.clock.Advance(3_000)
	assert.Equal(t, first.place(session), "v1", "the session goes on")
	second := rolling(fleet.Running, func(order int64, hash uint64) bool {
		for _, kept := range first.steer.PinnedSessions(first.view)[order] {
			if kept == hash {
				return true
			}
		}
		return false
	})
	second.clock.Advance(3_000)
	assert.Equal(t, second.place(session), "v1", "the other daemon was told")
	first.clock.Advance(7_000)
	assert.Equal(t, first.place(session), "v2", "the session was over")
}

// TestSessionsNeverGoBack follows a session that is due from the first half to the end.
func TestSessionsNeverGoBack(t *testing.T) {
	d := rolling(fleet.Running, nil)
	d.clock.Advance(3_000)
	for range 20 {
		assert.Equal(t, d.place(due()), "v2")
		d.clock.Advance(1_000)
	}
}

// TestServedBeforeAll lets requests run on any version where the chosen one has no server.
func TestServedBeforeAll(t *testing.T) {
	d := rolling(fleet.Running, nil)
	d.view = d.view.WithoutServer("v2")
	d.clock.Advance(5_000)
	assert.Equal(t, d.runOn(due(), false), "v1v2")
}

// TestTalliesBelongToOneOrder counts by version and route, and starts anew with a
// new order.
func TestTalliesBelongToOneOrder(t *testing.T) {
	d := rolling(fleet.Running, nil)
	route := &catalog.Route{Name: "draft"}
	v1 := fleet.Entry{Server: fleet.Server{ID: "v1", Pool: "text", Version: "v1"}}
	v2 := fleet.Entry{Server: fleet.Server{ID: "v2", Pool: "text", Version: "v2"}}
	d.steer.RecordOutcome(d.view, &v1, route, relay.Outcome{Conclusive: true, LatencyRatio: 1})
	d.steer.RecordOutcome(d.view, &v2, route, relay.Outcome{Conclusive: true, Failed: true, LatencyRatio: 1})
	trial := d.steer.AnswerStats()[AnswerStatsKey{"text", 7, true, "draft"}]
	assert.Equal(t, trial.Bad, 1)
	assert.Equal(t, d.steer.AnswerStats()[AnswerStatsKey{"text", 7, false, "draft"}].Good, 1)
	r := d.view.Rollouts["text"]
	d.steer.StopCanary(r)
	d.clock.Advance(5_000)
	assert.Equal(t, d.runOn(due(), false), "v1", "closed here ahead of the record")
	r.OrderVersion, r.StartedAt = 9, 15_000
	d.view = d.view.WithRollout(r)
	d.steer.RecordOutcome(d.view, &v2, route, relay.Outcome{Conclusive: true})
	assert.Equal(t, d.steer.AnswerStats()[AnswerStatsKey{"text", 9, true, "draft"}].Good, 1)
	assert.Equal(t, len(d.steer.AnswerStats()), 1)
}
