// Package caller serves the requests of callers over HTTP.
package caller

import (
	"context"
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// Headers between callers and daemons.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderSessionID      = "X-Session-Id"    // a session that the daemons look up
	HeaderSessionStart   = "X-Session-Start" // asks for a session token
	HeaderSessionToken   = "X-Session-Token" // a session that the caller carries
	HeaderRequestTimeout = "X-Request-Timeout-Ms"
	HeaderModelVersion   = "X-Model-Version" // model@version that answered
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "X-Replayed"    // the answer was recorded earlier
	HeaderCostMicros     = "X-Cost-Micros" // millionths of the billing unit, on whole answers
)

// info is what is known of a request; its own goroutine fills it in.
type info struct {
	id       string
	began    clock.Millis
	deadline clock.Millis
	account  string
	row      tables.ClientAccount
	route    string
	class    string
	version  string
	server   string
	code     result.Code
	retries  int
	firstAt  clock.Millis // when the first byte of the answer went out
}

type infoKey struct{}

func withInfo(r *http.Request, i *info) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), infoKey{}, i))
}

func infoOf(r *http.Request) *info {
	i, _ := r.Context().Value(infoKey{}).(*info)
	return i
}
