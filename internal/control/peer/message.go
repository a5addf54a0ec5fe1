package peer

import (
	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// Kind identifies the type of a call.
type Kind string

// The calls between daemons. The values are sent on the wire.
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
	KindBorrowToken     Kind = "borrow_token"
)

// Empty is the body of requests and responses without content.
type Empty struct{}

// PullResponse is the response to KindPull.
type PullResponse struct {
	State controlstate.PeerState `json:"state"`
}

// DocumentMessage is the response to KindFetchDocument.
type DocumentMessage struct {
	Document *tables.Document `json:"document"`
}

// VersionAnnouncement is the request of KindAnnounceVersion: the member has the document of
// that version.
type VersionAnnouncement struct {
	Member  string `json:"member"`
	Version int64  `json:"version"`
}

// HoldBillsRequest asks a peer to hold replicas of bill records.
type HoldBillsRequest struct {
	Records []billing.Record `json:"records"`
}

// HoldBillsResponse reports whether the peer accepted the replicas.
type HoldBillsResponse struct {
	Held bool `json:"held"`
}

// ReleaseBillsRequest notifies a holder that the records are in the table service.
type ReleaseBillsRequest struct {
	IDs []string `json:"ids"`
}

// PinsMessage is the request of KindPutPins and KindGetPins, and the response to
// KindGetPins. Pins is empty in a KindGetPins request.
type PinsMessage struct {
	Session string       `json:"session"`
	Pins    session.Pins `json:"pins"`
}

// envelope frames each request and response. A response has the ID of its request.
type envelope struct {
	ID    uint64 `json:"id"`
	Kind  Kind   `json:"kind,omitempty"`
	Error string `json:"error,omitempty"`
	Body  []byte `json:"body"`
}
