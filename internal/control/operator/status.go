package operator

import (
	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Status is the status of one daemon.
type Status struct {
	Host            string         `json:"host"`
	DataCentre      string         `json:"data_centre"`
	Incarnation     uint64         `json:"incarnation"`
	Version         int64          `json:"version"`
	ConfirmedAgeMs  int64          `json:"confirmed_age_ms"` // negative if the configuration was never confirmed
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
	Tripped         []string       `json:"tripped"`               // model@version
	Unreachable     string         `json:"unreachable,omitempty"` // why the daemon could not be asked
}

// PeerStatus is the last status received from another daemon.
type PeerStatus struct {
	Host    string `json:"host"`
	Version int64  `json:"version"`
	AgeMs   int64  `json:"age_ms"` // upper bound of the status's age
	Synced  bool   `json:"synced"`
}

// ServerStatus is the status of a backend server as known to the daemon.
type ServerStatus struct {
	Server       string `json:"server"`
	State        string `json:"state"` // warm, cold, leaving, ejected or out
	Running      int    `json:"running"`
	OwnInFlight  int    `json:"own"`        // in-flight requests of this daemon
	PeerInFlight int    `json:"peer_sends"` // in-flight requests of other daemons
	ColdSlots    int    `json:"cold_slots"`
	AgeMs        int64  `json:"age_ms"` // since the newest load report was requested
}

// NewStatus returns the part of the status that the snapshot contains. The window is the
// confirmation window of the settings.
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
	for name, tripped := range snapshot.Tripped {
		if tripped {
			s.Tripped = append(s.Tripped, name)
		}
	}
	return s
}

// NewServerStatus returns the status of a backend server. ownInFlight is the number of this
// daemon's requests in flight to it.
func NewServerStatus(snapshot *controlstate.Snapshot, key placement.ServerKey, ownInFlight int, now clock.Millis) ServerStatus {
	state := snapshot.Servers[key]
	return ServerStatus{
		Server:       key.String(),
		State:        stateName(snapshot, key, state, now),
		Running:      state.Load.Running,
		OwnInFlight:  ownInFlight,
		PeerInFlight: state.PeerInFlight,
		ColdSlots:    snapshot.ColdSlots[key],
		AgeMs:        int64(now - state.LoadRequestedAt),
	}
}

// stateName returns the value of ServerStatus.State.
func stateName(snapshot *controlstate.Snapshot, key placement.ServerKey, state placement.ServerState, now clock.Millis) string {
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
