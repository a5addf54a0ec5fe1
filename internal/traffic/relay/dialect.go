package relay

import (
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Attempt is one sending of a request to a backend server.
type Attempt struct {
	Server      fleet.Entry
	Account     string // empty on routes without a key
	Model       string // empty where the caller named it
	Remaining   clock.Millis
	Priority    int    // 0 is the most urgent, 9 the least
	LastEventID string // id of the last event that was delivered; empty for a new stream
}

// ResponseInfo is what the head of a server's answer says beside the answer itself.
type ResponseInfo struct {
	RequestID   string
	NotExecuted bool // the server states that it didn't run the request
	WrongServer bool // another server has the address
	Unverified  bool // the answer claims success but can't be the server's own
	HasLoad     bool
	Running     int
	Waiting     int
	Slots       int
	// Confidence is the model's own opinion of its answer, 0 to 100; -1 where it
	// gives none.
	Confidence    int
	ColdRemaining clock.Millis // 0 where the server doesn't say that it is cold
}

// Dialect translates between the relay and the headers that backend servers
// understand.
type Dialect interface {
	// Encode returns the headers of the call.
	Encode(r *Request, a Attempt) http.Header
	// Decode reads the head of an answer to a call that was meant for the server.
	Decode(server string, status int, h http.Header) ResponseInfo
	// ResponseHeader returns the headers of the answer that the caller gets.
	ResponseHeader(h http.Header) http.Header
}
