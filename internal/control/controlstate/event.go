package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Event is something that happened to the daemon.
type Event interface{ isEvent() }

// Tick lets periodic work be done.
type Tick struct{}

// StoreReadDone is the answer of the table service to ReadStore. Document is nil
// where the version was no newer than the daemon's.
type StoreReadDone struct {
	RequestedAt clock.Millis
	Version     int64
	Document    *tables.Document
	Failed      bool
}

// PeerPulled is the answer of a peer to PullPeer.
type PeerPulled struct {
	RequestedAt clock.Millis
	Address     string // that was asked
	State       PeerState
}

// VersionAnnounced is a peer's word that it has a document of that version.
type VersionAnnounced struct {
	Member  string
	Version int64
}

// DocumentReceived is a document that was fetched from a peer, or that an
// operator's edit brought.
type DocumentReceived struct {
	Document *tables.Document
}

// ServerUpdateReceived is a peer's word of a server that it saw cold or leaving.
type ServerUpdateReceived struct {
	Update ServerUpdate
}

// LoadPollDone is a backend server's answer to PollLoad.
type LoadPollDone struct {
	RequestedAt clock.Millis
	Server      placement.ServerKey
	Load        placement.LoadReport
	Failed      bool
}

// HostListReadDone is the platform's list of hosts that are leaving.
type HostListReadDone struct {
	RequestedAt clock.Millis
	Leaving     []string // addresses of hosts, IP only
	Failed      bool
}

// CallFinished is what a traffic goroutine noticed about a backend server.
type CallFinished struct {
	Server  placement.ServerKey
	Outcome Outcome
}

// VersionTripped says that a sequential test has found the version bad.
type VersionTripped struct {
	Name string // model@version
}

// ShutdownStarted says that this daemon has begun its graceful shutdown.
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

// Outcome is how a call to a backend server went.
type Outcome int

// The outcomes that matter to placement.
const (
	Served Outcome = iota
	Failed
	ReportedCold
	ReportedLeaving
)
