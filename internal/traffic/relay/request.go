// Package relay carries a caller's request to a backend server and the answer
// back: one path for plain calls and for streams.
package relay

import (
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Request is a caller's request, decoded.
type Request struct {
	ID          string
	Method      string
	Host        string
	Path        string
	Target      string // path and query as sent
	Header      http.Header
	Body        []byte
	APIKey      string       // of the client account
	ReceivedAt  clock.Millis // when its head was read
	Timeout     clock.Millis // how long the caller waits from Arrived; 0 where it doesn't say
	Session     string
	Model       string // empty where the router chooses
	AnyModel    bool   // the caller leaves the choice of the model to the router
	Prompt      bearing.Prompt
	LengthHint  int    // caller's estimate of the tokens of the answer; 0 where it has none
	LastEventID string // id of the last event that the caller has; empty for a new stream
}
