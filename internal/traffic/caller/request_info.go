// Package caller serves the requests of callers over HTTP.
package caller

import (
	"context"
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// Headers of requests and responses between callers and daemons.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderSessionID      = "X-Session-Id"    // names a session whose pins the daemons store
	HeaderSessionStart   = "X-Session-Start" // requests a session token
	HeaderSessionToken   = "X-Session-Token" // signed pins of a session, held by the caller
	HeaderRequestTimeout = "X-Request-Timeout-Ms"
	HeaderModelVersion   = "X-Model-Version" // model@version of the answer
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "X-Replayed"    // set if the answer was recorded by an earlier call
	HeaderCostMicros     = "X-Cost-Micros" // in millionths of the billing unit; not on streamed answers
)

// requestInfo collects the properties of a request for logs and metrics. Only the
// goroutine that serves the request may use it.
type requestInfo struct {
	id            string
	startedAt     clock.Millis
	deadline      clock.Millis
	account       string // name of the client account
	clientAccount tables.ClientAccount
	route         string
	class         string
	version       string
	server        string
	code          result.Code
	retries       int
	firstByteAt   clock.Millis // when the response header was sent; 0 before
}

type requestInfoKey struct{}

func withRequestInfo(r *http.Request, i *requestInfo) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), requestInfoKey{}, i))
}

func requestInfoOf(r *http.Request) *requestInfo {
	i, _ := r.Context().Value(requestInfoKey{}).(*requestInfo)
	return i
}
