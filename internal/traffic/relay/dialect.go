package relay

import (
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Attempt holds the values that one attempt adds to the request.
type Attempt struct {
	Server      fleet.Entry
	Account     string       // client account; empty on routes that need no key
	Model       string       // chosen by the router; empty if the caller named one
	Remaining   clock.Millis // until the request's deadline
	Priority    int          // 0 (most urgent) to 9
	LastEventID string       // last event that the caller received; empty for a new stream
}

// ResponseInfo is the metadata in the header of a backend server's response.
type ResponseInfo struct {
	RequestID   string
	NotExecuted bool // the server states that it did not run the request
	WrongServer bool // the address belongs to another server
	Unverified  bool // reports success without proof that the server produced it
	HasLoad     bool // Running, Waiting and Slots are known
	Running     int  // requests
	Waiting     int  // requests
	Slots       int
	// Confidence is the model's estimate that its answer is right, 0 to 100; -1 if
	// there is none.
	Confidence    int
	ColdRemaining clock.Millis // 0 if the server is not cold or does not say
	Leaving       bool         // the server announces its exit
	TurnedAway    bool         // the server turned the request away until the end of Pause
	Pause         clock.Millis // for which it wants no requests from this daemon
	PauseKind     PauseKind
	Limit         loadbalance.Limit // of the requests from all daemons
	Pace          int               // time that work takes at the server now, in percent of the usual; 0 if unknown
	PaceKind      loadbalance.PaceKind
}

// PauseKind is how the time for which a server wants no requests was understood.
type PauseKind string

// The kinds of pauses. A request for a pause of one of the last three kinds is ignored.
const (
	NoPause        PauseKind = ""
	ValidPause     PauseKind = "valid"
	ZeroPause      PauseKind = "zero"      // over at once
	ShortenedPause PauseKind = "shortened" // longer than this daemon accepts
	NegativePause  PauseKind = "negative"
	DatePause      PauseKind = "date" // an instant, by a clock that may differ from this daemon's
	MalformedPause PauseKind = "malformed"
)

// Dialect maps requests and responses to the headers that backend servers use.
type Dialect interface {
	// Encode returns the headers of the call to the backend server.
	Encode(req *Request, a Attempt) http.Header
	// Decode reads the response to a call that was meant for the given server.
	Decode(server string, status int, h http.Header) ResponseInfo
	// ServerID returns the ID of the server that sent the response; empty if it isn't stated.
	ServerID(h http.Header) string
	// ResponseHeader returns the headers that are passed on to the caller.
	ResponseHeader(h http.Header) http.Header
	// EventFormat returns what all streams of the servers have in common.
	EventFormat() EventFormat
}

// EventFormat is what streams hold beyond the rules of server-sent events.
type EventFormat struct {
	// Numbered means that each event has an ID, a decimal number above that of the event before.
	// Without it, a stream may do without IDs, and they may be any text.
	Numbered bool
	// LowercaseFields means that the names of an event's fields are in lowercase, unlike those of
	// the headers of a response.
	LowercaseFields bool
}
