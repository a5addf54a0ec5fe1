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

// setNow sets the state's clock and runs the time-based changes.
func (s *State) setNow(now clock.Millis) *State {
	s.now = now
	s.tick()
	return s
}

func newTestState() *State {
	s := newState(hclog.NewNullLogger(), 3_000)
	s.now = 1_000
	s.SetStoreAvailable(table, true)
	s.now = 10_000
	s.SetCatalog(catalog.New(catalog.Tables{Version: 1, Pools: []catalog.Pool{{Name: "text", ColdDuration: 3_000, ColdRate: 10}}}))
	s.SetServer(fleet.Server{ID: "e1", Pool: "text", Address: "127.0.0.1:1", DataCentre: "dc-1"})
	return s
}

func inService(s *State, id string) bool {
	e, ok := s.View().Server(id)
	return ok && s.View().InService(&e)
}

// TestRegistrationRemoval checks when a server goes out of service. Guards against
// losing live servers whose registrations expired during a store outage, and against
// keeping servers that have left or whose address is in use by another server.
func TestRegistrationRemoval(t *testing.T) {
	outage := func(s *State, from, to clock.Millis) {
		s.setNow(from).SetStoreAvailable(table, false)
		s.setNow(to).SetStoreAvailable(table, true)
	}
	// The last failed call began at failedAt.
	outageFoundLate := func(s *State, from, failedAt, to clock.Millis) {
		outage(s, from, to)
		s.ObserveStoreFailure(failedAt)
		s.RemoveRegistration(table, "e1")
	}
	cases := map[string]struct {
		steps func(s *State)
		at    clock.Millis
		want  bool
	}{
		"removed while the store is available":             {func(s *State) { s.setNow(20_000).RemoveRegistration(table, "e1") }, 20_000, false},
		"expired in the outage, not registered again yet":  {func(s *State) { outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1") }, 26_900, true},
		"expired in the outage, never registered again":    {func(s *State) { outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1") }, 27_100, false},
		"removed long after the outage":                    {func(s *State) { outage(s, 20_000, 25_000); s.setNow(30_000).RemoveRegistration(table, "e1") }, 30_000, false},
		"was draining before the outage":                   {func(s *State) { markDraining(s); outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1") }, 25_000, false},
		"expired in the outage, registered again in time":  {func(s *State) { outage(s, 20_000, 25_000); s.RemoveRegistration(table, "e1"); renew(s.setNow(26_000)) }, 40_000, true},
		"expired in the outage, whose end was found late":  {func(s *State) { outageFoundLate(s, 20_000, 24_200, 25_000) }, 26_800, true},
		"never registered again, the end was found late":   {func(s *State) { outageFoundLate(s, 20_000, 24_200, 25_000) }, 26_850, false},
		"registered again in time, the end was found late": {func(s *State) { outageFoundLate(s, 20_000, 24_200, 25_000); renew(s.setNow(26_000)) }, 40_000, true},
		"the end was found after the wait":                 {func(s *State) { outageFoundLate(s, 20_000, 22_000, 25_000) }, 25_000, false},
		"missing from the list after the outage":           {func(s *State) { outage(s, 20_000, 25_000); s.RetainServers(table, nil) }, 27_100, false},
		"another server registered at the address": {func(s *State) {
			s.SetServer(fleet.Server{ID: "e2", Pool: "app", Address: "127.0.0.1:1", DataCentre: "dc-1", StartedAt: 5})
		}, 20_000, false},
		"another server answered at the address":       {func(s *State) { s.RemoveReplacedServer("e1", 11_000) }, 20_000, false},
		"another server answered before it registered": {func(s *State) { s.RemoveReplacedServer("e1", 9_000) }, 20_000, true},
		"its row is invalid":                           {func(s *State) { s.RemoveServer("e1") }, 20_000, false},
		"evacuated":                                    {func(s *State) { s.SetEvacuated("dc-1", true) }, 20_000, false},
		"evacuated and returned":                       {func(s *State) { s.SetEvacuated("dc-1", true); s.SetEvacuated("dc-1", false) }, 20_000, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestState()
			c.steps(s)
			assert.Equal(t, inService(s.setNow(c.at), "e1"), c.want)
		})
	}
}

func markDraining(s *State) {
	e, _ := s.View().Server("e1")
	e.Draining = true
	s.SetServer(e.Server)
}

func renew(s *State) {
	e, _ := s.View().Server("e1")
	s.SetServer(e.Server)
}

// TestLeavingServerStaysOutOfService shows a leaving server's entry as ready again, as a store
// that returns from an older copy does. Only a new start may bring it back.
func TestLeavingServerStaysOutOfService(t *testing.T) {
	cases := map[string]struct {
		startedAt int64 // of the leaving server
		shown     int64 // of the ready one
		want      bool
	}{
		"older state":         {5, 5, false},
		"started again":       {5, 6, true},
		"starts aren't known": {0, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestState()
			server := fleet.Server{ID: "e2", Pool: "text", Address: "127.0.0.1:2", DataCentre: "dc-1", StartedAt: c.startedAt, Draining: true}
			s.SetServer(server)
			server.Draining, server.StartedAt = false, c.shown
			s.SetServer(server)
			assert.Equal(t, inService(s, "e2"), c.want)
		})
	}
}

// TestReturnedDataCentreIsCold checks that the servers of a data centre count as cold
// when its evacuation ends, which limits their load at first.
func TestReturnedDataCentreIsCold(t *testing.T) {
	s := newTestState()
	s.SetEvacuated("dc-1", true)
	s.setNow(20_000).SetEvacuated("dc-1", false)
	e, _ := s.View().Server("e1")
	assert.Equal(t, e.ColdUntil, clock.Millis(23_000))
}

// TestOlderConfigurationIsIgnored checks that a configuration older than the current
// one is not applied.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := newTestState()
	s.SetCatalog(catalog.New(catalog.Tables{Version: 9}))
	s.SetCatalog(catalog.New(catalog.Tables{Version: 4}))
	assert.Equal(t, s.View().Catalog.Version, int64(9))
}

// TestRolloutOrderAndRecord checks how an operator's order is combined with the store's
// records. Guards against applying the record of an earlier order or an older record,
// and against dropping a rolled-back roll-out while servers of its version still run.
func TestRolloutOrderAndRecord(t *testing.T) {
	s := newTestState()
	s.ObserveStoreTime(500_000) // the store is 490 s ahead
	order := fleet.Rollout{Pool: "text", Target: "v2", Duration: 24_000, OrderVersion: 7}
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 3, Stage: fleet.RolledBack, RowVersion: 5})
	s.SetRolloutOrder(order)
	r := s.View().Rollouts["text"]
	assert.Equal(t, r.Stage, fleet.Ordered, "the record belongs to an earlier order")
	assert.Equal(t, r.RecordVersion, int64(5))
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 7, Stage: fleet.Running, StartedAt: 495_000, RowVersion: 8})
	r = s.View().Rollouts["text"]
	assert.Equal(t, r.Stage, fleet.Running)
	assert.Equal(t, r.StartedAt, clock.Millis(5_000), "a daemon that starts later uses the recorded start time")
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 7, Stage: fleet.RolledBack, RowVersion: 9})
	s.SetRolloutRecord("text", fleet.RolloutRecord{OrderVersion: 7, Stage: fleet.Running, RowVersion: 8})
	assert.Equal(t, s.View().Rollouts["text"].Stage, fleet.RolledBack, "an older record is ignored")
	s.RemoveRolloutOrder("text")
	assert.Equal(t, s.View().Rollouts["text"].Stage, fleet.RolledBack, "servers of the bad version may still be running")
}

// TestStaleAfterStoreOutage checks that the state is stale only once the store has
// been unavailable for longer than staleAfter.
func TestStaleAfterStoreOutage(t *testing.T) {
	s := newTestState()
	assert.Assert(t, !s.isStale())
	s.setNow(20_000).SetStoreAvailable(table, false)
	assert.Assert(t, !s.setNow(20_300).isStale())
	assert.Assert(t, s.setNow(20_500).isStale())
}
