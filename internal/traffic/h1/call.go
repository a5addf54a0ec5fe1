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
	Address string
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	ID      string    // in the answer that belongs to this call
	Fresh   bool      // on a new connection, or one that was used just now
	HeadBy  time.Time // when the head of the answer must be there
	Until   time.Time // when the whole answer must be there
}

// Failure tells why a call has no answer.
type Failure struct {
	Sent   bool // some of the request may have reached the server
	Silent bool // the server gave no sign of life
	Reused bool // the connection had carried calls before
	Reason error
}

// Error returns the reason.
func (f *Failure) Error() string { return f.Reason.Error() }

// Unwrap returns the reason.
func (f *Failure) Unwrap() error { return f.Reason }
