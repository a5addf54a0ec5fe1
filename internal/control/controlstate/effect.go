package controlstate

import "gypsumpitch.example/gypsumpitch/internal/decision/placement"

// Effect is an action that the machine requests from the event loop.
type Effect interface{ isEffect() }

// ReadStore reads the document from the table service if it is newer than Version. The
// result is a StoreReadDone event.
type ReadStore struct {
	Version int64
}

// PullPeer requests the state of a peer. Member is empty if only an address is known. The
// result is a PeerPulled event if the call succeeds, and no event otherwise.
type PullPeer struct {
	Member  string
	Address string
}

// NotifyPeer sends a peer an update on a backend server ahead of its next pull.
type NotifyPeer struct {
	Member  string
	Address string
	Update  ServerUpdate
}

// FetchDocument requests the document of a peer. The result is a DocumentReceived event if
// the call succeeds, and no event otherwise.
type FetchDocument struct {
	Member  string
	Address string
}

// AnnounceVersion announces a document version to a peer, which fetches the document if it
// lacks it.
type AnnounceVersion struct {
	Member  string
	Address string
	Version int64
}

// PollLoad requests the load of a backend server. The result is a LoadPollDone event.
type PollLoad struct {
	Server  placement.ServerKey
	Address string
}

// ReadHostList requests the platform's list of leaving hosts. The result is a
// HostListReadDone event.
type ReadHostList struct{}

func (ReadStore) isEffect()       {}
func (PullPeer) isEffect()        {}
func (FetchDocument) isEffect()   {}
func (AnnounceVersion) isEffect() {}
func (NotifyPeer) isEffect()      {}
func (PollLoad) isEffect()        {}
func (ReadHostList) isEffect()    {}
