package viewstate

import (
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// State collects what the store reports and derives the view from it. It must only
// be used inside a change that Manager applies.
type State struct {
	log hclog.Logger
	now clock.Millis
	// recovery is the time after a store outage from which on changes must again be applied
	// in time.
	recovery clock.Millis
	view     *fleet.View // without the changes in editor

	editor *fleet.Editor // of the servers and hosts; nil if they have not changed since view

	tables         map[string]tableStatus         // by table name
	rolloutOrders  map[string]fleet.Rollout       // by pool
	rolloutRecords map[string]fleet.RolloutRecord // by pool
	lostRecords    map[string]lostRecord          // by pool; see LoseRolloutRecord
	orderEpoch     int64                          // of the store, in which the orders were read
	recordEpoch    int64                          // of the store, in which the records were read
	returnedAt     clock.Millis                   // when orderEpoch was first seen
	storeTimeKnown bool
	storeFailedAt  clock.Millis            // when the last failed call to the store began; 0: none failed
	removeAt       map[string]clock.Millis // by server ID; registrations that expired during a store outage
}

// reregistrationTimeout is the time within which a live server registers again
// after its registration expired during a store outage.
const reregistrationTimeout = 2_000 * clock.Millis(1)

// departureMargin is how long before the end of the recovery, counted from the start of the
// last failed call to the store, a registration that is still missing counts as gone. The
// store may have been back since then.
const departureMargin = 350 * clock.Millis(1)

// lateExpiryWindow is the time after a store outage in which a registration that
// disappears may have expired during the outage.
const lateExpiryWindow = 300 * clock.Millis(1)

// tableStatus records whether the store answers calls for a table, and since when.
type tableStatus struct {
	available bool
	since     clock.Millis
}

func newState(log hclog.Logger, recovery clock.Millis) *State {
	return &State{
		log:            log,
		recovery:       recovery,
		view:           fleet.NewView(),
		tables:         make(map[string]tableStatus),
		rolloutOrders:  make(map[string]fleet.Rollout),
		rolloutRecords: make(map[string]fleet.RolloutRecord),
		lostRecords:    make(map[string]lostRecord),
		removeAt:       make(map[string]clock.Millis),
	}
}

// View returns the view that will be published after the current change.
func (s *State) View() *fleet.View {
	if s.editor != nil {
		s.view, s.editor = s.editor.View(), nil
	}
	return s.view
}

// edit returns the editor of the servers and hosts. The changes of a page of a table are
// collected in it.
func (s *State) edit() *fleet.Editor {
	if s.editor == nil {
		s.editor = s.view.Edit()
	}
	return s.editor
}

// SetStoreAvailable records whether the store answers calls for a table.
func (s *State) SetStoreAvailable(table string, available bool) {
	if t, ok := s.tables[table]; !ok || t.available != available {
		s.tables[table] = tableStatus{available: available, since: s.now}
	}
}

// StoreAvailable reports whether the store answers calls for the table, and since
// when.
func (s *State) StoreAvailable(table string) (available bool, since clock.Millis) {
	t := s.tables[table]
	return t.available, t.since
}

// ObserveStoreFailure records when the last failed call to the store began; 0 means that
// none failed.
func (s *State) ObserveStoreFailure(startedAt clock.Millis) {
	s.storeFailedAt = max(s.storeFailedAt, startedAt)
}

// staleAfter is how long the store may be unavailable before the view counts as stale:
// from then on, what is missing from it may be new in the store.
const staleAfter = 400 * clock.Millis(1)

// isStale reports whether changes in the store may have been missed.
func (s *State) isStale() bool {
	for _, t := range s.tables {
		if !t.available && s.now-t.since > staleAfter {
			return true
		}
	}
	return false
}

// SetCatalog applies a configuration. One whose version is not newer than the
// current one is ignored.
func (s *State) SetCatalog(c *catalog.Catalog) {
	if s.View().Catalog != nil && s.View().Catalog.Version >= c.Version {
		return
	}
	s.log.Info("configuration applied", "config_version", c.Version)
	s.view = s.View().WithCatalog(c)
}

// SetServer adds or updates a registered server, and removes servers that were
// registered at the same address before it.
func (s *State) SetServer(server fleet.Server) {
	delete(s.removeAt, server.ID)
	old, known := s.edit().Server(server.ID)
	if known && old.Draining && server.StartedAt != 0 && server.StartedAt == old.StartedAt {
		// A server that leaves doesn't come back before its next start. The store may show an
		// older state that this daemon has never read.
		server.Draining = true
	}
	if known && old.Server == server {
		return
	}
	s.log.Info("server", "server", server.ID, "pool", server.Pool, "data_centre", server.DataCentre,
		"address", server.Address, "version", server.Version, "leaving", server.Draining, "cold_ms", int64(server.ColdRemaining))
	s.edit().SetServer(server, s.now)
	s.removePredecessors(server)
}

// removePredecessors removes other servers at the address that did not start after
// the given one.
func (s *State) removePredecessors(server fleet.Server) {
	for _, id := range s.edit().ServerIDsAt(server.Address) {
		e, _ := s.edit().Server(id)
		if id != server.ID && e.StartedAt <= server.StartedAt {
			s.deleteServer(id)
		}
	}
}

// RemoveRegistration handles a server registration that disappeared from the table.
// A registration that may have expired during a store outage stays in service until
// removalTime: a live server registers again before.
func (s *State) RemoveRegistration(table, id string) {
	e, known := s.edit().Server(id)
	if !known {
		return
	}
	available, since := s.StoreAvailable(table)
	expired := !available || s.now-since <= lateExpiryWindow
	if e.Draining || !expired || s.now >= s.removalTime() {
		s.deleteServer(id)
		return
	}
	if _, scheduled := s.removeAt[id]; !scheduled {
		s.removeAt[id] = s.removalTime()
		s.log.Info("registration expired during a store outage; waiting for the server to register again", "server", id)
	}
}

// removalTime returns when a server is removed whose registration expired during a store
// outage, and that has not registered again.
func (s *State) removalTime() clock.Millis {
	if s.storeFailedAt == 0 {
		return s.now + reregistrationTimeout
	}
	return min(s.now+reregistrationTimeout, s.storeFailedAt+s.recovery-departureMargin)
}

// RemoveReplacedServer removes a server because a different server answered at its
// address at observedAt. A registration update received since then takes precedence.
func (s *State) RemoveReplacedServer(id string, observedAt clock.Millis) {
	if e, known := s.edit().Server(id); known && e.UpdatedAt < observedAt {
		s.deleteServer(id)
	}
}

// RemoveServer removes a server at once, such as one whose registration is invalid.
func (s *State) RemoveServer(id string) {
	if _, known := s.edit().Server(id); known {
		s.deleteServer(id)
	}
}

func (s *State) deleteServer(id string) {
	s.log.Info("server removed", "server", id)
	delete(s.removeAt, id)
	s.edit().RemoveServer(id)
}

// RetainServers calls RemoveRegistration for every server that is not in ids.
func (s *State) RetainServers(table string, ids map[string]bool) {
	for _, id := range s.View().ServerIDs() {
		if !ids[id] {
			s.RemoveRegistration(table, id)
		}
	}
}

// SetEvacuated records whether operators have evacuated a data centre. The servers
// of a data centre that returns count as cold.
func (s *State) SetEvacuated(dataCentre string, evacuated bool) {
	if s.View().Evacuated[dataCentre] == evacuated {
		return
	}
	s.log.Info("data centre evacuation changed", "data_centre", dataCentre, "evacuated", evacuated)
	s.view = s.View().WithEvacuated(dataCentre, evacuated)
	if !evacuated {
		// Its servers may have become cold during the evacuation and report that only
		// later.
		s.view = s.View().WithColdDataCentre(dataCentre, s.now)
	}
}

// SetRolloutOrder applies an operator's order of a roll-out. An order that is written
// again after the store returned from a copy goes on as it was.
func (s *State) SetRolloutOrder(r fleet.Rollout) {
	old, ok := s.rolloutOrders[r.Pool]
	same := ok && old.IsSameOrder(r)
	switch {
	case same && old.OrderVersion == r.OrderVersion:
		r = old.WithOrderEpoch(r.OrderEpoch)
	case same && r.OrderEpoch > old.OrderEpoch:
		r = s.renumber(old, r)
	default:
		r.StartedAt = s.now
	}
	s.adoptLostRecord(r)
	s.rolloutOrders[r.Pool] = r
	s.publishRollout(r.Pool)
}

// SetRolloutRecord applies the record that the store has of a pool's roll-out. A
// record older than the current one is ignored.
func (s *State) SetRolloutRecord(pool string, r fleet.RolloutRecord) {
	old := s.rolloutRecords[pool]
	if recordPosition(old).Compare(recordPosition(r)) > 0 {
		return
	}
	if order, ok := s.rolloutOrders[pool]; ok && order.Owns(old) && !order.Owns(r) && !order.IsReplacedBy(r) {
		s.LoseRolloutRecord(pool, r) // of an earlier order
		return
	}
	s.rolloutRecords[pool] = s.reconcileRecord(pool, old, r)
	s.publishRollout(pool)
}

// publishRollout combines a pool's order with its record. The stage and start time
// of the record apply only if it belongs to the same order.
func (s *State) publishRollout(pool string) {
	r, ok := s.rolloutOrders[pool]
	if !ok {
		return
	}
	record := s.rolloutRecords[pool]
	if s.View().Rollouts[pool].OrderVersion == r.OrderVersion && r.IsReplacedBy(record) {
		return // keeps its stage until the newer order is known
	}
	r.RecordVersion, r.RecordEpoch, r.RecordToken = record.RowVersion, record.RowEpoch, record.Token
	if r.Owns(record) {
		r.Stage = record.Stage
		// The order may itself not have been written again yet.
		r.RecordLost = record.Lost && r.OrderEpoch >= record.RowEpoch
		if s.storeTimeKnown {
			// A daemon that starts later uses the same start time.
			r.StartedAt = record.StartedAt - s.View().StoreOffset
		}
	}
	if s.View().Rollouts[pool] == r {
		return
	}
	s.log.Info("roll-out", "pool", pool, "target", r.Target, "stage", r.Stage.String(), "duration_ms", int64(r.Duration))
	s.view = s.View().WithRollout(r)
}

// RemoveRolloutOrder ends a pool's roll-out. A roll-out that was rolled back stays in
// the view, since servers of the bad version may still be running.
func (s *State) RemoveRolloutOrder(pool string) {
	delete(s.rolloutOrders, pool)
	if r, ok := s.View().Rollouts[pool]; ok && r.Stage != fleet.RolledBack {
		s.view = s.View().WithoutRollout(pool)
	}
}

// ObserveStoreTime updates the estimated offset of the store's clock from the time
// in a response; zero means that the response has none. The largest offset is kept:
// it comes from the response with the least delay and is the most accurate.
func (s *State) ObserveStoreTime(now clock.Millis) {
	if now == 0 {
		return
	}
	if offset := now - s.now; !s.storeTimeKnown || offset > s.View().StoreOffset {
		s.storeTimeKnown = true
		s.view = s.View().WithStoreOffset(offset)
	}
}

// SetHost adds or updates a host. A host without an address is removed.
func (s *State) SetHost(name string, h fleet.Host) {
	if s.edit().Host(name) == h {
		return
	}
	s.log.Debug("host", "name", name, "address", h.Address, "data_centre", h.DataCentre)
	s.edit().SetHost(name, h)
}

// RemoveHosts removes all hosts.
func (s *State) RemoveHosts() { s.edit().RemoveHosts() }

// SetTableLoaded records that a table has been read completely.
func (s *State) SetTableLoaded(table string) { s.view = s.View().WithLoadedTable(table) }

// tick removes servers that did not register again after a store outage.
func (s *State) tick() {
	for _, id := range slices.Sorted(maps.Keys(s.removeAt)) {
		if s.now >= s.removeAt[id] {
			s.deleteServer(id)
		}
	}
}
