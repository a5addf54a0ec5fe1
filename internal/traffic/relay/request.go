package relay

import (
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Request is a decoded request of a caller.
type Request struct {
	ID          string
	Method      string
	Host        string
	Path        string
	Target      string // path and query as sent
	Header      http.Header
	Body        []byte
	APIKey      string       // of the client account; empty if the caller sent none
	ReceivedAt  clock.Millis // when its header was read
	Timeout     clock.Millis // how long the caller waits after ReceivedAt; 0 if not stated
	Session     string
	Model       string // as the caller sent it
	AnyModel    bool   // the router chooses the model
	Prompt      loadbalance.Prompt
	LengthHint  int    // caller's estimate of the response's tokens; 0 if there is none
	LastEventID string // last event that the caller received; empty for a new stream
}
