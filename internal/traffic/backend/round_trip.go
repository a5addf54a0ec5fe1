package backend

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
)

// RoundTrip sends the request with the given request ID and returns the response once its
// header has arrived, which is counted in the holding. The caller must close the body. Errors are
// *Failure.
func RoundTrip(ctx context.Context, transport http.RoundTripper, request *http.Request, requestID string, holding *admission.Holding) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.Header.Set(HeaderRequestID, requestID)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, transportFailure(ctx, err, connected.Load())
	}
	failure := checkResponse(response, requestID)
	if failure == nil && !holding.Grow(headerMemory(response.Header)) {
		failure = noMemory()
	}
	if failure != nil {
		_ = response.Body.Close()
		return nil, failure
	}
	return response, nil
}

// transportFailure classifies an error of the transport. A call on an established
// connection may have run.
func transportFailure(ctx context.Context, err error, connected bool) *Failure {
	switch {
	case !connected:
		return &Failure{Kind: NotSent, Detail: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Kind: TimedOut, Detail: err.Error()}
	default:
		return &Failure{Kind: MayHaveRun, Detail: err.Error()}
	}
}

// checkResponse returns a failure if the response belongs to another request or states
// that the server did not run the call.
func checkResponse(response *http.Response, requestID string) *Failure {
	if got := response.Header.Get(HeaderRequestID); got != "" && got != requestID {
		return &Failure{Kind: Mismatched, Detail: "expected a response to " + requestID + ", got one to " + got}
	}
	if response.Header.Get(HeaderNotRun) == "" {
		return nil
	}
	kind := Refused
	if response.Header.Get(HeaderLeaving) != "" {
		kind = Leaving
	}
	return &Failure{Kind: kind, Cold: response.Header.Get(HeaderCold) != "", Detail: response.Status}
}

// AsFailure returns the *Failure in err's chain. For any other error it returns a
// MayHaveRun failure.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Kind: MayHaveRun, Detail: err.Error()}
}

// Estimates of what the parser takes for a header, in bytes.
const (
	headerNameBytes = 200 // for a name, besides its bytes
	headerLineBytes = 32  // for a line, besides its bytes
)

// headerMemory returns what the header holds.
func headerMemory(h http.Header) int64 {
	bytes := 0
	for name, values := range h {
		bytes += headerNameBytes + len(name)
		for _, value := range values {
			bytes += headerLineBytes + len(value)
		}
	}
	return int64(bytes)
}
