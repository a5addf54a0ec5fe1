package relay

import (
	"context"
	"os"

	"github.com/pkg/errors"
)

// Causes of requests that end without a complete answer, in logs and metrics.
const (
	unansweredCallerClosed = "caller_closed" // the caller closed its connection, or reading from it failed
	unansweredWriteTimeout = "write_timeout" // a write to the caller reached its deadline
	unansweredWriteFailed  = "write_failed"
	unansweredCallerSlow   = "caller_slow" // its part of the response was still unread at the deadline
	unansweredQuarantined  = "quarantined" // the request or a segment of its prompt, after the response had begun
	unansweredExit         = "exit"        // of this daemon
	unansweredInterrupted  = "interrupted" // the response had begun, and no server goes on with it
)

// unansweredCause returns why a request that failed with the error has no complete answer.
func (ex *exchange) unansweredCause(err error) string {
	ctx := ex.httpReq.Context()
	// A failed write also ends the context, but without the error of a read.
	hasClosed := ctx.Err() != nil && (ex.w.err == nil || !errors.Is(context.Cause(ctx), context.Canceled))
	switch {
	case errors.Is(err, errCallerDisconnected) && hasClosed:
		return unansweredCallerClosed
	case errors.Is(ex.w.err, os.ErrDeadlineExceeded):
		return unansweredWriteTimeout
	case ex.w.err != nil:
		return unansweredWriteFailed
	case errors.Is(err, errCallerTooSlow):
		return unansweredCallerSlow
	case ex.run != nil && ex.run.Canceled():
		return unansweredQuarantined
	case ex.relay.isEnding():
		return unansweredExit
	}
	return unansweredInterrupted
}

// unansweredFields counts a request that ends without a complete answer, and returns the
// fields of its log line that tell why; none if it is answered.
func (ex *exchange) unansweredFields(unanswered bool, err error) []any {
	if !unanswered {
		return nil
	}
	cause := ex.unansweredCause(err)
	ex.relay.Metrics.countUnanswered(cause)
	fields := []any{"cause", cause, "header_sent", ex.headerSent, "body_bytes", ex.w.written}
	if ex.deadline > 0 {
		fields = append(fields, "past_deadline_ms", int64(ex.relay.Clock.Now()-ex.deadline))
	}
	if ctx := ex.httpReq.Context(); ctx.Err() != nil {
		fields = append(fields, "caller_error", context.Cause(ctx).Error())
	}
	if ex.w.err != nil {
		fields = append(fields, "write_error", ex.w.err.Error())
	}
	return fields
}
