package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/membership"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Snapshot is an immutable copy of the control state, shared by all traffic goroutines.
type Snapshot struct {
	Document          *tables.Document
	ConfirmedUntil    clock.Millis
	Synced            bool
	StoreDownSince    clock.Millis // 0 if the last read succeeded
	Servers           map[placement.ServerKey]placement.ServerState
	ColdSlots         map[placement.ServerKey]int
	PreferredServers  map[string][]string // names by pool, sorted
	Tripped           map[string]bool     // model@version to whether its trip is in force
	Members           []membership.Observation
	LivePeers         []string // other members with a recent status, at any document version
	Self              string
	DataCentre        string
	Stopping          bool
	OutOfServiceSince clock.Millis // 0 while this host is in service
}

// Confirmed reports whether the document is confirmed as current at the given time. New
// work must be rejected otherwise.
func (s *Snapshot) Confirmed(now clock.Millis) bool {
	return s.Document != nil && now < s.ConfirmedUntil
}

// MayRun reports whether the account may start new work on the model version, which must
// not have tripped.
func (s *Snapshot) MayRun(account, model, version string) bool {
	return s.Document.MayRun(account, model, version) && !s.Tripped[tables.JoinVersion(model, version)]
}

// Available reports whether the backend server may receive new work at the given time.
// It does not check ConcurrencyLimit.
func (s *Snapshot) Available(k placement.ServerKey, now clock.Millis) bool {
	server, ok := s.Document.Pools[k.Pool].Servers[k.Server]
	if !ok || !s.Document.ServerInService(server) {
		return false
	}
	state, known := s.Servers[k]
	return !known || (!state.Leaving && now >= state.EjectedUntil)
}

// ConcurrencyLimit returns the maximum number of in-flight requests of this daemon at the
// server. Without a load report the server is assumed to be cold.
func (s *Snapshot) ConcurrencyLimit(k placement.ServerKey) int {
	server := s.Document.Pools[k.Pool].Servers[k.Server]
	state, known := s.Servers[k]
	if !known || state.Cold {
		return s.ColdSlots[k]
	}
	return state.Capacity.Bound(server.Slots)
}

// LoadPerSlot estimates the number of requests per slot at the server, from its own report
// or from the in-flight requests of all daemons, whichever is higher. ownInFlight is the
// number of this daemon.
func (s *Snapshot) LoadPerSlot(k placement.ServerKey, ownInFlight int) float64 {
	server := s.Document.Pools[k.Pool].Servers[k.Server]
	state := s.Servers[k]
	requests := max(state.Load.Running+state.Load.Waiting, state.PeerInFlight+ownInFlight)
	return float64(requests) / float64(max(state.Capacity.Bound(server.Slots), 1))
}
