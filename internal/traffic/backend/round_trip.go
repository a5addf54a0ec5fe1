package backend

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// RoundTrip sends the request once and returns the answer's head. Every error
// is a *Failure. The caller closes the body.
func RoundTrip(ctx context.Context, transport http.RoundTripper, request *http.Request, wantID string) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.Header.Set(HeaderRequestID, wantID)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, classify(ctx, err, connected.Load())
	}
	if failure := judge(response, wantID); failure != nil {
		_ = response.Body.Close()
		return nil, failure
	}
	return response, nil
}

func classify(ctx context.Context, err error, connected bool) *Failure {
	switch {
	case !connected:
		return &Failure{Kind: NotSent, Detail: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Kind: TimedOut, Detail: err.Error()}
	default:
		return &Failure{Kind: MayHaveRun, Detail: err.Error()}
	}
}

// judge drops answers to other requests, and takes the server's word on calls
// that it didn't run.
func judge(response *http.Response, wantID string) *Failure {
	if got := response.Header.Get(HeaderRequestID); got != "" && got != wantID {
		return &Failure{Kind: Mismatched, Detail: "asked for " + wantID + ", got " + got}
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

// AsFailure returns err as a failure; anything else may have run.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Kind: MayHaveRun, Detail: err.Error()}
}
