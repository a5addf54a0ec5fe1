package controlstate

import "gypsumpitch.example/gypsumpitch/internal/decision/placement"

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

// NotifyPeer tells a peer at once of a server that was seen cold or leaving,
// ahead of its next pull.
type NotifyPeer struct {
	Member  string
	Address string
	Update  ServerUpdate
}

// FetchDocument asks a peer for its document.
type FetchDocument struct {
	Member  string
	Address string
}

// AnnounceVersion tells a peer of a new document, which it fetches if it lacks it.
type AnnounceVersion struct {
	Member  string
	Address string
	Version int64
}

// PollLoad asks a backend server for its load.
type PollLoad struct {
	Server  placement.ServerKey
	Address string
}

// ReadHostList asks the platform for the hosts that are leaving.
type ReadHostList struct{}

func (ReadStore) isEffect()       {}
func (PullPeer) isEffect()        {}
func (FetchDocument) isEffect()   {}
func (AnnounceVersion) isEffect() {}
func (NotifyPeer) isEffect()      {}
func (PollLoad) isEffect()        {}
func (ReadHostList) isEffect()    {}
