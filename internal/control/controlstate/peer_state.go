package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// PeerState is the reply of a daemon to a peer's pull.
type PeerState struct {
	Members       []MemberStatus        `json:"s"`
	ServerUpdates []ServerUpdate        `json:"n,omitempty"`
	Tripped       []TrippedVersion      `json:"t,omitempty"`
	InFlight      []ServerInFlight      `json:"q,omitempty"`
	RatingCounts  []cascade.RatingCount `json:"c,omitempty"` // ratings of the sender's answers
	VersionCounts []VersionCount        `json:"e,omitempty"` // the sender's good and bad answers, for the sequential test
	Member        string                `json:"m"`
	Version       int64                 `json:"v"`
}

// MemberStatus is what the sender knows of a member, itself included. The status is given
// an age instead of a time, since the daemons' clocks can't be compared.
type MemberStatus struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: member statuses are most of a message.

	Member      string `json:"m"`
	Incarnation uint64 `json:"i"`
	Synced      bool   `json:"y"`
	Version     int64  `json:"v"`
	AgeMs       int64  `json:"a"`
}

// ServerUpdate reports that a backend server was found leaving, or else cold, AgeMs ago.
type ServerUpdate struct {
	Server  placement.ServerKey `json:"k"`
	Leaving bool                `json:"l"`
	AgeMs   int64               `json:"a"`
}

// TrippedVersion reports a model version whose sequential test failed while the document
// Version was in force.
type TrippedVersion struct {
	Name    string `json:"n"` // model@version
	Version int64  `json:"v"`
}

// ServerInFlight is the number of in-flight requests of the sender at a backend server.
type ServerInFlight struct {
	Server placement.ServerKey `json:"k"`
	Count  int                 `json:"n"`
}

// VersionCount holds the numbers of good and bad answers of a model version that the
// sender has counted since its start.
type VersionCount struct {
	Name string `json:"n"` // model@version
	Good int    `json:"g"`
	Bad  int    `json:"b"`
}

// PeerState returns the reply to a peer's pull. inFlight holds this daemon's in-flight
// requests per server. RatingCounts and VersionCounts are left empty.
func (m *Machine) PeerState(now clock.Millis, inFlight map[placement.ServerKey]int) PeerState {
	s := PeerState{Member: m.cfg.Self, Version: m.doc.Version}
	s.Members = append(s.Members, MemberStatus{
		Member:      m.cfg.Self,
		Incarnation: m.cfg.Incarnation,
		Synced:      m.view.Synced(),
		Version:     m.doc.Version,
	})
	for _, observation := range m.view.Observations() {
		age := now - observation.ObservedAt
		if age < m.cfg.ConfirmWindow {
			s.Members = append(s.Members, MemberStatus{
				Member:      observation.Member,
				Incarnation: observation.Incarnation,
				Synced:      observation.Synced,
				Version:     observation.Version,
				AgeMs:       int64(age),
			})
		}
	}
	s.ServerUpdates = m.recentServerUpdates(now)
	for name, version := range m.tripped {
		if m.tripInForce(name, version) {
			s.Tripped = append(s.Tripped, TrippedVersion{Name: name, Version: version})
		}
	}
	for k, n := range inFlight {
		s.InFlight = append(s.InFlight, ServerInFlight{Server: k, Count: n})
	}
	return s
}

// recentServerUpdates returns the updates that are younger than ConfirmWindow.
func (m *Machine) recentServerUpdates(now clock.Millis) []ServerUpdate {
	var recent []ServerUpdate
	for k, u := range m.serverUpdates {
		if age := now - u.coldAt; u.coldAt > 0 && age < m.cfg.ConfirmWindow {
			recent = append(recent, ServerUpdate{Server: k, AgeMs: int64(age)})
		}
		if age := now - u.leavingAt; u.leavingAt > 0 && age < m.cfg.ConfirmWindow {
			recent = append(recent, ServerUpdate{Server: k, Leaving: true, AgeMs: int64(age)})
		}
	}
	return recent
}
