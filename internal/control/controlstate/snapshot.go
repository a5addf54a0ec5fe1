package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/membership"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Snapshot is what traffic goroutines decide by. It is immutable.
type Snapshot struct {
	Document          *tables.Document
	ConfirmedUntil    clock.Millis
	Synced            bool
	StoreDownSince    clock.Millis // 0 while the last read went well
	Servers           map[placement.ServerKey]placement.ServerState
	ColdSlots         map[placement.ServerKey]int
	PreferredServers  map[string][]string // servers of each pool that this daemon prefers, in order
	Tripped           map[string]bool     // model@version found bad under this document
	Members           []membership.Observation
	LivePeers         []string // members seen within the window, newest document or not
	Self              string
	DataCentre        string
	Stopping          bool
	OutOfServiceSince clock.Millis // since when operators have had this host out; 0 while in
}

// Confirmed tells whether new work may be taken at that instant.
func (s *Snapshot) Confirmed(now clock.Millis) bool {
	return s.Document != nil && now < s.ConfirmedUntil
}

// MayRun tells whether new work of the account may run on the version now.
func (s *Snapshot) MayRun(account, model, version string) bool {
	return s.Document.MayRun(account, model, version) && !s.Tripped[tables.JoinVersion(model, version)]
}

// Available tells whether the backend server may get new work at that instant.
func (s *Snapshot) Available(k placement.ServerKey, now clock.Millis) bool {
	server, ok := s.Document.Pools[k.Pool].Servers[k.Server]
	if !ok || !s.Document.ServerInService(server) {
		return false
	}
	state, known := s.Servers[k]
	return !known || (!state.Leaving && now >= state.EjectedUntil)
}

// ConcurrencyLimit returns how many requests this daemon may have under way at the server.
func (s *Snapshot) ConcurrencyLimit(k placement.ServerKey) int {
	server := s.Document.Pools[k.Pool].Servers[k.Server]
	state, known := s.Servers[k]
	if !known || state.Cold {
		return s.ColdSlots[k]
	}
	return state.Capacity.Bound(server.Slots)
}

// LoadPerSlot estimates the requests a slot at the server: what it reported or what
// the daemons are known to have sent, whichever is more.
func (s *Snapshot) LoadPerSlot(k placement.ServerKey, own int) float64 {
	server := s.Document.Pools[k.Pool].Servers[k.Server]
	state := s.Servers[k]
	requests := max(state.Load.Running+state.Load.Waiting, state.PeerInFlight+own)
	return float64(requests) / float64(max(state.Capacity.Bound(server.Slots), 1))
}
