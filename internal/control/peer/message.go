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
	KindPull            Kind = "pull"
	KindAnnounceVersion Kind = "announce_version"
	KindFetchDocument   Kind = "fetch_document"
	KindServerUpdate    Kind = "notice"
	KindHoldBills       Kind = "hold_bills"
	KindReleaseBills    Kind = "release_bills"
	KindGetPins         Kind = "get_pins"
	KindPutPins         Kind = "put_pins"
	KindReport          Kind = "report"
	KindChanges         Kind = "changes"
)

// Empty is the body of calls that carry none.
type Empty struct{}

// PullResponse is the answer to a pull.
type PullResponse struct {
	State controlstate.PeerState `json:"state"`
}

// DocumentMessage carries a document.
type DocumentMessage struct {
	Document *tables.Document `json:"document"`
}

// VersionAnnouncement says that the sender has a document of that version.
type VersionAnnouncement struct {
	Member  string `json:"member"`
	Version int64  `json:"version"`
}

// HoldBillsRequest asks a peer to keep bill records as a replica.
type HoldBillsRequest struct {
	Records []billing.Record `json:"records"`
}

// HoldBillsResponse says whether a peer keeps them.
type HoldBillsResponse struct {
	Held bool `json:"held"`
}

// ReleaseBillsRequest says that records have been written.
type ReleaseBillsRequest struct {
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
