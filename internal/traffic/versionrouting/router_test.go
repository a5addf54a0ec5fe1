package versionrouting

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
)

// daemon is a router with its clock and view.
type daemon struct {
	clock  *clock.Manual
	router *Router
	view   *fleet.View
}

// newDaemon returns a daemon at 10,000 ms, when it received the order of a roll-out to v2
// that takes 24 s. Without pinnedByPeer, no peer has pinned a session.
func newDaemon(stage fleet.Stage, pinnedByPeer func(int64, uint64) bool) *daemon {
	if pinnedByPeer == nil {
		pinnedByPeer = func(int64, uint64) bool { return false }
	}
	c := clock.NewManual(10_000)
	v := fleet.NewView()
	for _, version := range []string{"v1", "v2"} {
		v = v.WithServer(fleet.Server{ID: version, Pool: "text", Version: version, DataCentre: "dc-1"}, 0)
	}
	v = v.WithRollout(fleet.Rollout{Pool: "text", Target: "v2", Duration: 24_000, StartedAt: 10_000, OrderVersion: 7, Stage: stage})
	d := &daemon{clock: c, router: New(c, 5_000, 0.15, pinnedByPeer), view: v}
	d.router.SetPlan(v.Rollouts["text"], rollout.Plan{Verdict: rollout.Cleared, Judged: true})
	return d
}

// allowedVersions returns the names of the allowed versions, concatenated.
func (d *daemon) allowedVersions(session string, failed bool) string {
	versions := d.router.AllowedVersions(d.view, "text", "draft", &relay.Request{ID: "r-" + session, Session: session}, failed)
	names := ""
	for _, v := range []string{"v1", "v2"} {
		if versions == nil || versions(v) {
			names += v
		}
	}
	return names
}

// place records a request of the session on its allowed version and returns it.
func (d *daemon) place(session string) string {
	version := d.allowedVersions(session, false)
	d.router.RecordPlacement(&relay.Request{Session: session}, &fleet.Entry{Server: fleet.Server{Pool: "text", Version: version}})
	return version
}

// earlySession returns a session in the first share of the new version.
func earlySession() string {
	for i := 0; ; i++ {
		if s := fmt.Sprintf("session-%d", i); container.UnitHash("v2", s) < 0.05 {
			return s
		}
	}
}

// lateSession returns a session that moves to the new version in the last step only.
func lateSession() string {
	for i := 0; ; i++ {
		if s := fmt.Sprintf("session-%d", i); container.UnitHash("v2", s) > 0.95 {
			return s
		}
	}
}

// TestAllowedVersions checks the version of a session at each stage of a roll-out.
func TestAllowedVersions(t *testing.T) {
	cases := map[string]struct {
		stage   fleet.Stage
		session string
		at      clock.Millis
		failed  bool
		want    string
	}{
		"early session, right after the order":       {fleet.Running, earlySession(), 10_500, false, "v1"},
		"early session, first half":                  {fleet.Running, earlySession(), 15_000, false, "v2"},
		"early session, first half, after a failure": {fleet.Running, earlySession(), 15_000, true, "v1"},
		"late session, first half":                   {fleet.Running, lateSession(), 15_000, false, "v1"},
		"late session, last step":                    {fleet.Running, lateSession(), 27_000, false, "v2"},
		"stage not recorded yet":                     {fleet.Ordered, earlySession(), 15_000, false, "v2"},
		"completed":                                  {fleet.Completed, lateSession(), 15_000, false, "v2"},
		"rolled back":                                {fleet.RolledBack, earlySession(), 27_000, false, "v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(c.stage, nil)
			d.clock.Advance(c.at - 10_000)
			assert.Equal(t, d.allowedVersions(c.session, c.failed), c.want)
		})
	}
}

// TestOverflowVersions checks which version a request may use when the servers of its own
// have used up their rate limits.
func TestOverflowVersions(t *testing.T) {
	cases := map[string]struct {
		stage   fleet.Stage
		session string
		pinned  bool
		want    string
	}{
		"new session":           {fleet.Running, earlySession(), false, "v1"},
		"no session":            {fleet.Running, "", false, "v1"},
		"session on the target": {fleet.Running, earlySession(), true, ""},
		"completed":             {fleet.Completed, earlySession(), false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(c.stage, nil)
			d.clock.Advance(5_000)
			if c.pinned {
				assert.Equal(t, d.place(c.session), "v2")
			}
			versions, got := d.router.OverflowVersions(d.view, "text", &relay.Request{ID: "r", Session: c.session}), ""
			for _, v := range []string{"v1", "v2"} {
				if versions != nil && versions(v) {
					got += v
				}
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// TestSessionsKeepTheirVersion checks that a session which ran before the order stays on
// its version in the first half of the roll-out, also on another daemon.
func TestSessionsKeepTheirVersion(t *testing.T) {
	session := earlySession()
	first := newDaemon(fleet.Running, nil)
	assert.Equal(t, first.place(session), "v1", "before the first share")
	first.clock.Advance(3_000)
	assert.Equal(t, first.place(session), "v1", "the session continues")
	second := newDaemon(fleet.Running, func(order int64, hash uint64) bool {
		for _, pinned := range first.router.PinnedSessions(first.view)[order] {
			if pinned == hash {
				return true
			}
		}
		return false
	})
	second.clock.Advance(3_000)
	assert.Equal(t, second.place(session), "v1", "the other daemon knows the pinned session")
	first.clock.Advance(7_000)
	assert.Equal(t, first.place(session), "v2", "the session has ended")
}

// TestSessionsNeverSwitchBack checks that a session which reached the new version stays on
// it until the roll-out ends.
func TestSessionsNeverSwitchBack(t *testing.T) {
	d := newDaemon(fleet.Running, nil)
	d.clock.Advance(3_000)
	for range 20 {
		assert.Equal(t, d.place(earlySession()), "v2")
		d.clock.Advance(1_000)
	}
}

// TestShareFollowsServers checks the new version's share of the requests while only some
// of its servers have started.
//
// Load pattern: hundreds of servers of the new version register over several seconds, the
// first two of them before the others, while requests arrive at a rate that the full
// canary share would overload those two with.
func TestShareFollowsServers(t *testing.T) {
	const old, requests = 240, 20_000
	cases := map[string]struct {
		started  int // servers of the new version
		at       clock.Millis
		min, max float64
	}{
		"two of the new servers":              {2, 13_500, 0, 0.015},
		"a few of them":                       {12, 14_000, 0.02, 0.06},
		"as many as old ones":                 {240, 14_000, 0.08, 0.1},
		"a few of them, after the first half": {12, 23_000, 0.02, 0.06},
		"a few of them, last step":            {12, 27_000, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(fleet.Running, nil)
			for i := range old {
				d.view = d.view.WithServer(fleet.Server{ID: fmt.Sprintf("old-%d", i), Pool: "text", Version: "v1"}, 0)
			}
			for i := range c.started - 1 {
				d.view = d.view.WithServer(fleet.Server{ID: fmt.Sprintf("new-%d", i), Pool: "text", Version: "v2"}, 0)
			}
			d.clock.Advance(c.at - 10_000)
			canary := 0
			for i := range requests {
				if d.allowedVersions(fmt.Sprintf("session-%d", i), false) == "v2" {
					canary++
				}
			}
			share := float64(canary) / requests
			assert.Assert(t, share >= c.min && share <= c.max, "share %.3f", share)
		})
	}
}

// TestFallsBackToAnyVersion checks that requests may run on any version if the chosen one
// has no server that gets new requests.
func TestFallsBackToAnyVersion(t *testing.T) {
	changes := map[string]func(v *fleet.View) *fleet.View{
		"removed":        func(v *fleet.View) *fleet.View { return v.WithoutServer("v2") },
		"out of service": func(v *fleet.View) *fleet.View { return v.WithOutOfService(map[string]bool{"v2": true}) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(fleet.Running, nil)
			d.view = change(d.view)
			d.clock.Advance(5_000)
			assert.Equal(t, d.allowedVersions(earlySession(), false), "v1v2")
		})
	}
}

// TestAnswerStatsPerOrder checks that outcomes are counted by version and route, and that
// a new order starts new statistics.
func TestAnswerStatsPerOrder(t *testing.T) {
	d := newDaemon(fleet.Running, nil)
	route := &catalog.Route{Name: "draft"}
	v1 := fleet.Entry{Server: fleet.Server{ID: "v1", Pool: "text", Version: "v1"}}
	v2 := fleet.Entry{Server: fleet.Server{ID: "v2", Pool: "text", Version: "v2"}}
	d.router.RecordOutcome(d.view, &v1, route, relay.Outcome{Conclusive: true, LatencyRatio: 1})
	d.router.RecordOutcome(d.view, &v2, route, relay.Outcome{Conclusive: true, Failed: true, LatencyRatio: 1})
	canary := d.router.AnswerStats()[AnswerStatsKey{"text", 7, true, "draft"}]
	assert.Equal(t, canary.Bad, 1)
	assert.Equal(t, d.router.AnswerStats()[AnswerStatsKey{"text", 7, false, "draft"}].Good, 1)
	ro := d.view.Rollouts["text"]
	d.router.StopCanary(ro)
	d.clock.Advance(5_000)
	assert.Equal(t, d.allowedVersions(earlySession(), false), "v1", "stopped here before the roll-back is recorded")
	ro.OrderVersion, ro.StartedAt = 9, 15_000
	d.view = d.view.WithRollout(ro)
	d.router.RecordOutcome(d.view, &v2, route, relay.Outcome{Conclusive: true})
	assert.Equal(t, d.router.AnswerStats()[AnswerStatsKey{"text", 9, true, "draft"}].Good, 1)
	assert.Equal(t, len(d.router.AnswerStats()), 1)
}

// TestPacesAreCountedByVersion checks that the paces of streams and the errors are counted
// by version while the roll-out runs, and not afterwards.
func TestPacesAreCountedByVersion(t *testing.T) {
	v1 := fleet.Entry{Server: fleet.Server{ID: "s1", Pool: "text", Version: "v1"}}
	v2 := fleet.Entry{Server: fleet.Server{ID: "s2", Pool: "text", Version: "v2"}}
	for stage, want := range map[fleet.Stage]int{fleet.Running: 1, fleet.Completed: 0, fleet.RolledBack: 0} {
		d := newDaemon(stage, nil)
		d.router.RecordPace(d.view, &v1, "large", 7, 25)
		d.router.RecordPace(d.view, &v2, "large", 1, 48)
		d.router.RecordOutcome(d.view, &v2, &catalog.Route{Name: "draft"}, relay.Outcome{Conclusive: true, Failed: true, Error: true})
		stats := d.router.AnswerStats()
		assert.Equal(t, len(stats[AnswerStatsKey{"text", 7, false, ""}].Paces), want)
		assert.Equal(t, len(stats[AnswerStatsKey{"text", 7, true, ""}].Paces), want)
		assert.Equal(t, stats[AnswerStatsKey{"text", 7, true, "draft"}].Errors, want)
	}
}

// TestHeldCanary checks the new version's share of the requests by the verdict: without one
// it never gets all of them, however late it is.
func TestHeldCanary(t *testing.T) {
	open := rollout.Plan{Share: 0.2, SessionShare: 0.3, RouteFactors: map[string]float64{"draft": 1.5}}
	cleared, judged := open, open
	cleared.Verdict = rollout.Cleared
	judged.Verdict, judged.Judged = rollout.Cleared, true
	cases := map[string]struct {
		at       clock.Millis
		plan     rollout.Plan
		session  bool
		min, max float64
	}{
		"sessions in the first half":             {15_000, open, true, 0.07, 0.11},
		"sessions in the second half":            {25_500, open, true, 0.25, 0.35},
		"sessions in the last step":              {28_000, open, true, 0.25, 0.35},
		"sessions at the deadline":               {33_900, open, true, 0.25, 0.35},
		"sessions after the deadline":            {40_000, open, true, 0.25, 0.35},
		"requests in the first half":             {15_000, open, false, 0.27, 0.33},
		"requests after the deadline":            {40_000, open, false, 0.27, 0.33},
		"no plan yet, last step":                 {33_000, rollout.Plan{}, false, 0, 0},
		"judged in the second half":              {25_500, judged, true, 0.45, 0.55},
		"judged, last step":                      {28_000, judged, true, 1, 1},
		"cleared late, before the last step":     {28_000, cleared, true, 0.25, 0.35},
		"cleared late, just in time to complete": {29_300, cleared, true, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(fleet.Running, nil)
			d.router = New(d.clock, 5_000, 0.15, func(int64, uint64) bool { return false })
			d.router.SetPlan(d.view.Rollouts["text"], c.plan)
			d.clock.Advance(c.at - 10_000)
			const requests = 2_000
			canary := 0
			for i := range requests {
				q := &relay.Request{ID: fmt.Sprintf("r-%d", i)}
				if c.session {
					q.Session = fmt.Sprintf("session-%d", i)
				}
				if versions := d.router.AllowedVersions(d.view, "text", "draft", q, false); !versions("v1") {
					canary++
				}
			}
			share := float64(canary) / requests
			assert.Assert(t, share >= c.min && share <= c.max, "share %.3f", share)
		})
	}
}
