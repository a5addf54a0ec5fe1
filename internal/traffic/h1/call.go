// Package h1 is an HTTP/1.1 client for backend servers. It manages its own
// connections, so that each failed call reports whether the server may have
// received the request.
package h1

import (
	"net/http"
	"time"
)

// Call is one request to a backend server. Header must not hold hop-by-hop
// headers; the client sets the message framing itself.
type Call struct {
	Address        string
	Method         string
	Target         string // path and query as the caller sent them
	Host           string
	Header         http.Header
	Body           []byte
	ID             string    // request ID that the response must carry
	FreshConn      bool      // use only a new connection or one that was used just now
	HeaderDeadline time.Time // for the response header; Deadline if that is earlier
	Deadline       time.Time // for the complete response
	// OnSilence is called when the response header is incomplete at HeaderDeadline, and
	// when the body is silent for longer than Response.LimitSilence allows. It returns how
	// much longer to wait, or 0 to abandon the call. Nil abandons it.
	OnSilence func() time.Duration
}

// CallError is the error of a call that got no response.
type CallError struct {
	Sent     bool // some of the request may have reached the server
	TimedOut bool // the server did not answer in time
	Reused   bool // the connection had carried earlier calls
	Err      error
}

// Error returns the message of Err.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *CallError) Unwrap() error { return e.Err }
