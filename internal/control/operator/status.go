package operator

import (
	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Status is one daemon's account of itself.
type Status struct {
	Host            string         `json:"host"`
	DataCentre      string         `json:"data_centre"`
	Incarnation     uint64         `json:"incarnation"`
	Version         int64          `json:"version"`
	ConfirmedAgeMs  int64          `json:"confirmed_age_ms"` // below 0: never
	Ready           bool           `json:"ready"`
	Stopping        bool           `json:"stopping"`
	StoreDownMs     int64          `json:"store_down_ms"`
	OpenRequests    int64          `json:"open_requests"`
	Waiting         map[string]int `json:"waiting"`
	BillsOwn        int            `json:"bills_own"`
	BillsHeld       int            `json:"bills_held"`
	ClaimsUnwritten int            `json:"claims_unwritten"`
	LeasesHeld      []string       `json:"leases_held"`
	Peers           []PeerStatus   `json:"peers"`
	Servers         []ServerStatus `json:"servers"`
	Tripped         []string       `json:"tripped"`
	Unreachable     string         `json:"unreachable,omitempty"`
}

// PeerStatus is what the daemon knows of another.
type PeerStatus struct {
	Host    string `json:"host"`
	Version int64  `json:"version"`
	AgeMs   int64  `json:"age_ms"`
	Synced  bool   `json:"synced"`
}

// ServerStatus is what the daemon knows of a backend server.
type ServerStatus struct {
	Server       string `json:"server"`
	State        string `json:"state"` // warm, cold, leaving, ejected or out
	Running      int    `json:"running"`
	OwnInFlight  int    `json:"own"`
	PeerInFlight int    `json:"peer_sends"`
	ColdSlots    int    `json:"cold_slots"`
	AgeMs        int64  `json:"age_ms"`
}

// NewStatus returns what the snapshot tells.
func NewStatus(snapshot *controlstate.Snapshot, window, now clock.Millis) Status {
	s := Status{
		Host:           snapshot.Self,
		DataCentre:     snapshot.DataCentre,
		Version:        snapshot.Document.Version,
		Stopping:       snapshot.Stopping,
		ConfirmedAgeMs: -1,
	}
	if snapshot.Synced {
		s.ConfirmedAgeMs = int64(now - (snapshot.ConfirmedUntil - window))
	}
	if snapshot.StoreDownSince > 0 {
		s.StoreDownMs = int64(now - snapshot.StoreDownSince)
	}
	for _, p := range snapshot.Members {
		s.Peers = append(s.Peers, PeerStatus{Host: p.Member, Version: p.Version, AgeMs: int64(now - p.ObservedAt), Synced: p.Synced})
	}
	for name, holds := range snapshot.Tripped {
		if holds {
			s.Tripped = append(s.Tripped, name)
		}
	}
	return s
}

// NewServerStatus returns what the snapshot tells of a backend server.
func NewServerStatus(snapshot *controlstate.Snapshot, key placement.ServerKey, own int, now clock.Millis) ServerStatus {
	state := snapshot.Servers[key]
	return ServerStatus{
		Server:       key.String(),
		State:        describe(snapshot, key, state, now),
		Running:      state.Load.Running,
		OwnInFlight:  own,
		PeerInFlight: state.PeerInFlight,
		ColdSlots:    snapshot.ColdSlots[key],
		AgeMs:        int64(now - state.LoadRequestedAt),
	}
}

func describe(snapshot *controlstate.Snapshot, key placement.ServerKey, state placement.ServerState, now clock.Millis) string {
	switch {
	case !snapshot.Document.ServerInService(snapshot.Document.Pools[key.Pool].Servers[key.Server]):
		return "out"
	case state.Leaving:
		return "leaving"
	case now < state.EjectedUntil:
		return "ejected"
	case !state.Reported || state.Cold:
		return "cold"
	default:
		return "warm"
	}
}
