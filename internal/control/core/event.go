package core

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Event is something that happened to the daemon.
type Event interface{ isEvent() }

// Tick lets periodic work be done.
type Tick struct{}

// StoreRead is the answer of the table service to ReadStore. Document is nil
// where the version was no newer than the daemon's.
type StoreRead struct {
	AskedAt  clock.Millis
	Version  int64
	Document *tables.Document
	Failed   bool
}

// PeerState is the answer of a peer to PullPeer.
type PeerState struct {
	AskedAt clock.Millis
	Address string // that was asked
	State   State
}

// VersionAnnounced is a peer's word that it has a document of that version.
type VersionAnnounced struct {
	Member  string
	Version int64
}

// DocumentPushed is a document that was fetched from a peer, or that an
// operator's edit brought.
type DocumentPushed struct {
	Document *tables.Document
}

// NoticeHeard is a peer's word of a server that it saw cold or leaving.
type NoticeHeard struct {
	Notice WireNotice
}

// LoadReported is a backend server's answer to PollLoad.
type LoadReported struct {
	AskedAt clock.Millis
	Server  placement.ServerKey
	Load    placement.LoadReport
	Failed  bool
}

// HostsListed is the platform's list of hosts that are leaving.
type HostsListed struct {
	AskedAt clock.Millis
	Leaving []string // addresses of hosts, IP only
	Failed  bool
}

// ServerSeen is what a traffic goroutine noticed about a backend server.
type ServerSeen struct {
	Server  placement.ServerKey
	Outcome Outcome
}

// VersionTripped says that a sequential test has found the version bad.
type VersionTripped struct {
	Name string // model@version
}

// SelfStopping says that this daemon has begun its graceful shutdown.
type SelfStopping struct{}

func (Tick) isEvent()             {}
func (StoreRead) isEvent()        {}
func (PeerState) isEvent()        {}
func (DocumentPushed) isEvent()   {}
func (VersionAnnounced) isEvent() {}
func (NoticeHeard) isEvent()      {}
func (LoadReported) isEvent()     {}
func (HostsListed) isEvent()      {}
func (ServerSeen) isEvent()       {}
func (VersionTripped) isEvent()   {}
func (SelfStopping) isEvent()     {}

// Outcome is how a call to a backend server went.
type Outcome int

// The outcomes that matter to placement.
const (
	Served Outcome = iota
	Failed
	SaidCold
	SaidLeaving
)
