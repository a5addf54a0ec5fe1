// Package h1 calls backend servers over HTTP/1.1 on connections of its own, so
// that it is known of every failed call whether it may have run.
package h1

import (
	"net/http"
	"time"
)

// Call is one request to a backend server. Header must not hold headers that
// concern the connection only; the client sets the framing itself.
type Call struct {
	Address        string
	Method         string
	Target         string // path and query as the caller sent them
	Host           string
	Header         http.Header
	Body           []byte
	ID             string    // in the answer that belongs to this call
	FreshConn      bool      // on a new connection, or one that was used just now
	HeaderDeadline time.Time // when the head of the answer must be there
	Deadline       time.Time // when the whole answer must be there
}

// CallError tells why a call has no answer.
type CallError struct {
	Sent     bool // some of the request may have reached the server
	TimedOut bool // the server gave no sign of life
	Reused   bool // the connection had carried calls before
	Err      error
}

// Error returns the reason.
func (f *CallError) Error() string { return f.Err.Error() }

// Unwrap returns the reason.
func (f *CallError) Unwrap() error { return f.Err }
