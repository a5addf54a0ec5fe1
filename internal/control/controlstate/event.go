package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Tick triggers the periodic work that is due.
type Tick struct{}

// StoreReadDone is the result of a ReadStore effect. Document is nil if Version is not
// newer than requested.
type StoreReadDone struct {
	RequestedAt clock.Millis
	Version     int64
	Document    *tables.Document
	Failed      bool
}

// PeerPulled is the result of a successful PullPeer effect. RequestedAt is the time before
// the call, so that the statuses in State never look newer than they are.
type PeerPulled struct {
	RequestedAt clock.Millis
	Address     string // of the peer
	State       PeerState
}

// VersionAnnounced is a peer's announcement that it has a document of the version.
type VersionAnnounced struct {
	Member  string
	Version int64
}

// DocumentReceived carries a document that was fetched from a peer or that results from an
// operator's edit.
type DocumentReceived struct {
	Document *tables.Document
}

// ServerUpdateReceived is a peer's update on a backend server that became cold or is
// leaving.
type ServerUpdateReceived struct {
	Update ServerUpdate
}

// LoadPollDone is the result of a PollLoad effect.
type LoadPollDone struct {
	RequestedAt clock.Millis
	Server      placement.ServerKey
	Load        placement.LoadReport
	Failed      bool
}

// HostListReadDone is the result of a ReadHostList effect.
type HostListReadDone struct {
	RequestedAt clock.Millis
	Leaving     []string // IP addresses of the hosts
	Failed      bool
}

// CallFinished reports the outcome of a traffic goroutine's call to a backend server.
type CallFinished struct {
	Server  placement.ServerKey
	Outcome Outcome
}

// VersionTripped reports that the sequential test of a model version's answers has failed.
type VersionTripped struct {
	Name string // model@version
}

// ShutdownStarted reports that this daemon has begun its graceful shutdown.
type ShutdownStarted struct{}

func (Tick) isEvent()                 {}
func (StoreReadDone) isEvent()        {}
func (PeerPulled) isEvent()           {}
func (DocumentReceived) isEvent()     {}
func (VersionAnnounced) isEvent()     {}
func (ServerUpdateReceived) isEvent() {}
func (LoadPollDone) isEvent()         {}
func (HostListReadDone) isEvent()     {}
func (CallFinished) isEvent()         {}
func (VersionTripped) isEvent()       {}
func (ShutdownStarted) isEvent()      {}

// Outcome is the result of a call to a backend server.
type Outcome int

// The outcomes that placement distinguishes. ReportedCold and ReportedLeaving mean
// that the server said so in its response.
const (
	Served Outcome = iota
	Failed
	ReportedCold
	ReportedLeaving
)
