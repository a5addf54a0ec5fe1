package core

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// Effect is something that the daemon must do for the core.
type Effect interface{ isEffect() }

// ReadStore asks the table service for the document if newer than Version.
type ReadStore struct {
	Version int64
}

// PullPeer asks a peer for its state. Member is empty where only an address is
// known.
type PullPeer struct {
	Member  string
	Address string
}

// FetchDocument asks a peer for its document.
type FetchDocument struct {
	Member  string
	Address string
}

// PushDocument gives a document to a peer.
type PushDocument struct {
	Member   string
	Address  string
	Document *tables.Document
}

// PollLoad asks a backend server for its load.
type PollLoad struct {
	Server  placement.Key
	Address string
}

// ReadHostList asks the platform for the hosts that are leaving.
type ReadHostList struct{}

func (ReadStore) isEffect()     {}
func (PullPeer) isEffect()      {}
func (FetchDocument) isEffect() {}
func (PushDocument) isEffect()  {}
func (PollLoad) isEffect()      {}
func (ReadHostList) isEffect()  {}
