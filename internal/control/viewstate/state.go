package viewstate

import (
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// State is the control state. It belongs to the keeper's goroutine.
type State struct {
	log  hclog.Logger
	now  clock.Millis
	view *fleet.View

	tables   map[string]turn // followed tables
	orders   map[string]fleet.Rollout
	recorded map[string]fleet.RolloutRecord
	timed    bool                    // the store's clock is known
	lapsed   map[string]clock.Millis // servers whose registration lapsed during an outage, and when they count as gone
}

// returnTime is how long after the end of an outage of the store the
// registrations that lapsed meanwhile are back, if their servers live.
const returnTime = 2_000 * clock.Millis(1)

// outageEcho is how long after the store's return a registration that goes may
// still have lapsed during the outage.
const outageEcho = 300 * clock.Millis(1)

// turn is whether the store answers for a table, and since when.
type turn struct {
	well  bool
	since clock.Millis
}

func newState(log hclog.Logger) *State {
	return &State{
		log:      log,
		view:     fleet.NewView(),
		tables:   make(map[string]turn),
		orders:   make(map[string]fleet.Rollout),
		recorded: make(map[string]fleet.RolloutRecord),
		lapsed:   make(map[string]clock.Millis),
	}
}

// View returns the state's view.
func (s *State) View() *fleet.View { return s.view }

// SetStoreAvailable takes in whether the store answers for a table.
func (s *State) SetStoreAvailable(table string, well bool) {
	if t, ok := s.tables[table]; !ok || t.well != well {
		s.tables[table] = turn{well: well, since: s.now}
	}
}

// StoreAvailable tells whether the store answers for the table, and since when.
func (s *State) StoreAvailable(table string) (well bool, since clock.Millis) {
	t := s.tables[table]
	return t.well, t.since
}

// touchSlack is how long the store may be silent before what the configuration
// doesn't hold is taken as possibly new.
const touchSlack = 400 * clock.Millis(1)

// isOutOfTouch tells whether changes may have been missed.
func (s *State) isOutOfTouch() bool {
	for _, t := range s.tables {
		if !t.well && s.now-t.since > touchSlack {
			return true
		}
	}
	return false
}

// SetCatalog takes in a configuration. Versions only rise.
func (s *State) SetCatalog(c *catalog.Catalog) {
	if s.view.Catalog != nil && s.view.Catalog.Version >= c.Version {
		return
	}
	s.log.Info("configuration in force", "config_version", c.Version)
	s.view = s.view.WithCatalog(c)
}

// SetServer takes in a server's description of itself.
func (s *State) SetServer(server fleet.Server) {
	delete(s.lapsed, server.ID)
	old, known := s.view.Server(server.ID)
	if known && old.Server == server {
		return
	}
	s.log.Info("server", "server", server.ID, "pool", server.Pool, "data_centre", server.DataCentre,
		"address", server.Address, "version", server.Version, "leaving", server.Draining, "cold_ms", int64(server.ColdRemaining))
	s.view = s.view.WithServer(server, s.now)
	s.dropPredecessors(server)
}

// dropPredecessors forgets servers that had the address before.
func (s *State) dropPredecessors(server fleet.Server) {
	for _, id := range s.view.ServerIDsAt(server.Address) {
		e, _ := s.view.Server(id)
		if id != server.ID && e.StartedAt <= server.StartedAt {
			s.forget(id)
		}
	}
}

// RemoveRegistration takes in that a server's registration in the table has gone. One
// that lapsed during an outage of the store is back soon after if its server
// lives, so the server stays in service until then.
func (s *State) RemoveRegistration(table, id string) {
	e, known := s.view.Server(id)
	if !known {
		return
	}
	well, since := s.StoreAvailable(table)
	if e.Draining || (well && s.now-since > outageEcho) {
		s.forget(id)
		return
	}
	if _, waits := s.lapsed[id]; !waits {
		s.lapsed[id] = s.now + returnTime
		s.log.Info("registration lapsed during an outage of the store", "server", id)
	}
}

// RemoveReplacedServer takes in that another server answered at a server's address. A
// registration that was heard of since then counts for more.
func (s *State) RemoveReplacedServer(id string, at clock.Millis) {
	if e, known := s.view.Server(id); known && e.UpdatedAt < at {
		s.forget(id)
	}
}

// RemoveServer takes in that a server's registration can't be read.
func (s *State) RemoveServer(id string) {
	if _, known := s.view.Server(id); known {
		s.forget(id)
	}
}

func (s *State) forget(id string) {
	s.log.Info("server gone", "server", id)
	delete(s.lapsed, id)
	s.view = s.view.WithoutServer(id)
}

// RetainServers drops the servers whose registrations are not among the ids.
func (s *State) RetainServers(table string, ids map[string]bool) {
	for _, id := range s.view.ServerIDs() {
		if !ids[id] {
			s.RemoveRegistration(table, id)
		}
	}
}

// SetEvacuated takes in whether operators have taken a data centre out.
func (s *State) SetEvacuated(dataCentre string, out bool) {
	if s.view.Evacuated[dataCentre] == out {
		return
	}
	s.log.Info("data centre", "data_centre", dataCentre, "evacuated", out)
	s.view = s.view.WithEvacuated(dataCentre, out)
	if !out {
		// Its servers may have become cold meanwhile, which they tell a little later.
		s.view = s.view.WithColdDataCentre(dataCentre, s.now)
	}
}

// SetRolloutOrder takes in the operator's order of a roll-out.
func (s *State) SetRolloutOrder(r fleet.Rollout) {
	if old, ok := s.orders[r.Pool]; ok && old.OrderVersion == r.OrderVersion {
		return
	}
	r.StartedAt = s.now
	s.orders[r.Pool] = r
	s.joinRollout(r.Pool)
}

// SetRolloutRecord takes in what the store holds of a pool's roll-out.
func (s *State) SetRolloutRecord(pool string, r fleet.RolloutRecord) {
	if s.recorded[pool].RowVersion > r.RowVersion {
		return
	}
	s.recorded[pool] = r
	s.joinRollout(pool)
}

// joinRollout publishes an order with what is recorded of it. A record of another
// order is an earlier one's.
func (s *State) joinRollout(pool string) {
	r, ok := s.orders[pool]
	if !ok {
		return
	}
	recorded := s.recorded[pool]
	r.RecordVersion = recorded.RowVersion
	if recorded.OrderVersion == r.OrderVersion {
		r.Stage = recorded.Stage
		if s.timed {
			// A daemon that starts later goes on from the same beginning.
			r.StartedAt = recorded.StartedAt - s.view.StoreOffset
		}
	}
	if s.view.Rollouts[pool] == r {
		return
	}
	s.log.Info("roll-out", "pool", pool, "target", r.Target, "stage", r.Stage.String(), "duration_ms", int64(r.Duration))
	s.view = s.view.WithRollout(r)
}

// RemoveRolloutOrder takes in that a pool has no roll-out any more. One that was rolled
// back goes on to bind: the servers of the bad version may be there for longer.
func (s *State) RemoveRolloutOrder(pool string) {
	delete(s.orders, pool)
	if r, ok := s.view.Rollouts[pool]; ok && r.Stage != fleet.RolledBack {
		s.view = s.view.WithoutRollout(pool)
	}
}

// ObserveStoreTime takes in the store's clock as an answer told it. The answer that
// came fastest is the closest to the truth.
func (s *State) ObserveStoreTime(now clock.Millis) {
	if now == 0 {
		return
	}
	if offset := now - s.now; !s.timed || offset > s.view.StoreOffset {
		s.timed = true
		s.view = s.view.WithStoreOffset(offset)
	}
}

// SetHost takes in a host; one without an address has no daemon any more.
func (s *State) SetHost(name string, h fleet.Host) {
	if s.view.Hosts[name] == h {
		return
	}
	s.log.Debug("host", "name", name, "address", h.Address, "data_centre", h.DataCentre)
	s.view = s.view.WithHost(name, h)
}

// RemoveHosts forgets all hosts.
func (s *State) RemoveHosts() { s.view = s.view.WithoutHosts() }

// SetTableLoaded takes in that a table has been read whole.
func (s *State) SetTableLoaded(table string) { s.view = s.view.WithLoadedTable(table) }

// tick forgets the servers that didn't come back after an outage.
func (s *State) tick() {
	for _, id := range slices.Sorted(maps.Keys(s.lapsed)) {
		if s.now >= s.lapsed[id] {
			s.forget(id)
		}
	}
}
