package viewstate

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const table = "servers"

// at moves the state's clock and lets time-bound work happen.
func (s *State) at(now clock.Millis) *State {
	s.now = now
	s.tick()
	return s
}

func newTestState() *State {
	s := newState(hclog.NewNullLogger())
	s.now = 1_000
	s.SetStoreAvailable(table, true)
	s.now = 10_000
	s.SetCatalog(catalog.New(catalog.Tables{Version: 1, Pools: []catalog.Pool{{Name: "text", ColdDuration: 3_000, ColdRate: 10}}}))
	s.SetServer(fleet.Server{ID: "e1", Pool: "text", Address: "127.0.0.1:1", DataCentre: "dc-1"})
	return s
}

func inService(s *State, id string) bool {
	e, ok := s.view.Server(id)
	return ok && s.view.InService(&e)
}

// TestRegistrationsThatGo tells servers that left from registrations that lapsed
// while the store was away.
func TestRegistrationsThatGo(t *testing.T) {
	outage := func(s *State, from, to clock.Millis) {
		s.at(from).SetStoreAvailable(table, false)
		s.at(to).SetStoreAvailable(table, true)
	}
	cases := map[string]struct {
		steps func(s *State)
		at    clock.Millis
		want  bool
	}{
		"goes in calm weather":                   {func(s *State) { s.at(20_000).RemoveRegistration(table, "e1") }, 20_000, false},
		"lapsed in the outage, not back yet":     {func(s *State) { outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1") }, 26_900, true},
		"lapsed in the outage, never back":       {func(s *State) { outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1") }, 27_100, false},
		"goes well after the outage":             {func(s *State) { outage(s, 20_000, 25_000); s.at(30_000).RemoveRegistration(table, "e1") }, 30_000, false},
		"was leaving before the outage":          {func(s *State) { leave(s); outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1") }, 25_000, false},
		"lapsed in the outage, back in time":     {func(s *State) { outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1"); back(s.at(26_000)) }, 40_000, true},
		"missing from the list after the outage": {func(s *State) { outage(s, 20_000, 25_000); s.RetainServers(table, nil) }, 27_100, false},
		"another server took the address": {func(s *State) {
			s.SetServer(fleet.Server{ID: "e2", Pool: "app", Address: "127.0.0.1:1", DataCentre: "dc-1", StartedAt: 5})
		}, 20_000, false},
		"another answered at its address":           {func(s *State) { s.RemoveReplacedServer("e1", 11_000) }, 20_000, false},
		"another had answered before it registered": {func(s *State) { s.RemoveReplacedServer("e1", 9_000) }, 20_000, true},
		"its row can't be read":                     {func(s *State) { s.RemoveServer("e1") }, 20_000, false},
		"evacuated":                                 {func(s *State) { s.SetEvacuated("dc-1", true) }, 20_000, false},
		"evacuated and taken back":                  {func(s *State) { s.SetEvacuated("dc-1", true); s.SetEvacuated("dc-1", false) }, 20_000, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestState()
			c.steps(s)
			assert.Equal(t, inService(s.at(c.at), "e1"), c.want)
		})
	}
}

func leave(s *State) {
	e, _ := s.view.Server("e1")
	e.Draining = true
	s.SetServer(e.Server)
}

func back(s *State) {
	e, _ := s.view.Server("e1")
	s.SetServer(e.Server)
}

// TestReturnedDataCentreIsCold bounds what the servers of a data centre get right
// after it is taken back.
func TestReturnedDataCentreIsCold(t *testing.T) {
	s := newTestState()
	s.SetEvacuated("dc-1", true)
	s.at(20_000).SetEvacuated("dc-1", false)
	e, _ := s.view.Server("e1")
	assert.Equal(t, e.ColdUntil, clock.Millis(23_000))
}

// TestConfigurationsOnlyRise ignores a version that is older than the one in force.
func TestConfigurationsOnlyRise(t *testing.T) {
	s := newTestState()
	s.SetCatalog(catalog.New(catalog.Tables{Version: 9}))
	s.SetCatalog(catalog.New(catalog.Tables{Version: 4}))
	assert.Equal(t, s.view.Catalog.Version, int64(9))
}

// TestRollouts joins the operator's order with what is recorded of it.
func TestRollouts(t *testing.T) {
	s := newTestState()
	s.ObserveStoreTime(500_000) // the store is 490 s ahead
	order := fleet.Rollout{Pool: "text", Target: "v2", Duration: 24_000, OrderVersion: 7}
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 3, Stage: fleet.RolledBack, RowVersion: 5})
	s.SetRolloutOrder(order)
	r := s.view.Rollouts["text"]
	assert.Equal(t, r.Stage, fleet.Ordered, "the record belongs to an earlier order")
	assert.Equal(t, r.RecordVersion, int64(5))
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 7, Stage: fleet.Running, StartedAt: 495_000, RowVersion: 8})
	r = s.view.Rollouts["text"]
	assert.Equal(t, r.Stage, fleet.Running)
	assert.Equal(t, r.StartedAt, clock.Millis(5_000), "a daemon that starts later goes on from there")
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 7, Stage: fleet.RolledBack, RowVersion: 9})
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 7, Stage: fleet.Running, RowVersion: 8})
	assert.Equal(t, s.view.Rollouts["text"].Stage, fleet.RolledBack, "an older record changes nothing")
	s.RemoveRolloutOrder("text")
	assert.Equal(t, s.view.Rollouts["text"].Stage, fleet.RolledBack, "the bad version's servers may still be there")
}

// TestOutOfTouch tells when the configuration may have been missed.
func TestOutOfTouch(t *testing.T) {
	s := newTestState()
	assert.Assert(t, !s.isOutOfTouch())
	s.at(20_000).SetStoreAvailable(table, false)
	assert.Assert(t, !s.at(20_300).isOutOfTouch())
	assert.Assert(t, s.at(20_500).isOutOfTouch())
}
