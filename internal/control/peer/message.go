package peer

import (
	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// Kind names a call between daemons.
type Kind string

// The calls between daemons.
const (
	KindPull         Kind = "pull"
	KindAnnounce     Kind = "announce_version"
	KindFetch        Kind = "fetch_document"
	KindNotice       Kind = "notice"
	KindHoldBills    Kind = "hold_bills"
	KindReleaseBills Kind = "release_bills"
	KindGetPins      Kind = "get_pins"
	KindPutPins      Kind = "put_pins"
	KindReport       Kind = "report"
	KindChanges      Kind = "changes"
)

// Nothing is the body of calls that carry none.
type Nothing struct{}

// PullReply is the answer to a pull.
type PullReply struct {
	State controlstate.PeerState `json:"state"`
}

// DocumentMessage carries a document.
type DocumentMessage struct {
	Document *tables.Document `json:"document"`
}

// Announcement says that the sender has a document of that version.
type Announcement struct {
	Member  string `json:"member"`
	Version int64  `json:"version"`
}

// HoldBills asks a peer to keep bill records as a replica.
type HoldBills struct {
	Records []billing.Record `json:"records"`
}

// Held says whether a peer keeps them.
type Held struct {
	Held bool `json:"held"`
}

// ReleaseBills says that records have been written.
type ReleaseBills struct {
	IDs []string `json:"ids"`
}

// PinsMessage carries the pins of a session, or asks for them.
type PinsMessage struct {
	Session string       `json:"session"`
	Pins    session.Pins `json:"pins"`
}

// envelope wraps each call and each answer.
type envelope struct {
	ID    uint64 `json:"id"`
	Kind  Kind   `json:"kind,omitempty"`
	Error string `json:"error,omitempty"`
	Body  []byte `json:"body"`
}
