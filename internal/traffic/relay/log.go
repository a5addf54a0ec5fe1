package relay

import (
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/logging"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// log writes a message with the fields that identify the request.
func (ex *exchange) log(message string, server *fleet.Entry, extra ...any) {
	r := ex.relay
	fields := make([]any, 0, 16+len(extra))
	fields = append(fields, "request", logging.Text(ex.req.ID), "after_ms", int64(r.Clock.Now()-ex.req.ReceivedAt))
	if ex.route != nil {
		fields = append(fields, "route", ex.route.Name, "pool", ex.pool.Name)
	}
	if ex.view != nil && ex.view.Catalog != nil {
		fields = append(fields, "config_version", ex.view.Catalog.Version)
	}
	if ex.model != "" {
		fields = append(fields, "model", ex.model, "confidence", ex.confidence)
	}
	if server != nil {
		fields = append(fields, "server", server.ID, "version", server.Version)
	}
	if ex.req.Session != "" {
		fields = append(fields, "session", logging.Text(ex.req.Session))
	}
	fields = append(fields, "attempts", ex.attempts)
	r.Log.Info(message, append(fields, extra...)...)
}

// maxLoggedSegments bounds the segments of a prompt in a log line.
const maxLoggedSegments = 8

// promptSegments returns the IDs of the prompt's first segments, which tell what requests
// whose servers failed have in common.
func (ex *exchange) promptSegments() []string {
	segments := ex.req.Prompt.Segments
	segments = segments[:min(len(segments), maxLoggedSegments)]
	ids := make([]string, 0, len(segments))
	for _, s := range segments {
		ids = append(ids, logging.Text(s.ID))
	}
	return ids
}

// countOutcome records the result and the duration of the request.
func (ex *exchange) countOutcome(code result.Code) {
	ex.relay.Metrics.countRequest(ex.pool.Name, ex.account.Name, code, ex.relay.Clock.Now()-ex.req.ReceivedAt)
}

// finishWithResponse logs and counts a request whose caller has a complete response,
// which may be an error of the server.
func (ex *exchange) finishWithResponse() {
	if ex.status >= http.StatusInternalServerError {
		ex.countOutcome(result.BackendFailed)
		ex.log("finished with a server error", &ex.server, "code", result.BackendFailed.Number, "status", ex.status)
		return
	}
	ex.countOutcome(result.OK)
	ex.log("served", &ex.server, append([]any{"status", ex.status}, ex.speedFields()...)...)
}

// speedFields returns what was known of the speed of the last attempt's server when it was
// chosen, which tells why it was preferred to a free one; none unless servers are uneven.
func (ex *exchange) speedFields() []any {
	if ex.speed == nil {
		return nil
	}
	return []any{
		"server_speed", math.Round(ex.speed.Speed*100) / 100, "server_pace", ex.speed.Pace,
		"server_pace_age_ms", int64(ex.speed.PaceAge), "server_pace_own", ex.speed.FromOwn,
	}
}

// resultCode returns the code under which a failed request is counted.
func resultCode(err error) result.Code {
	switch {
	case errors.Is(err, errCallerDisconnected):
		return result.CallerLeft
	case errors.Is(err, errResponseInterrupted):
		return result.StreamCut
	}
	return result.From(err).Code
}

// retryAfterSpread is the share by which Retry-After varies up or down.
const retryAfterSpread = 0.25

// retryAfterAtLeast returns the retry time with which no caller returns before the end of
// the wait.
func retryAfterAtLeast(wait clock.Millis) int64 {
	return int64(math.Ceil(float64(wait) / (1 - retryAfterSpread)))
}

// retryAfter returns the value of the Retry-After header. A time that the schedule of
// returning callers has set is stated as it is.
func (ex *exchange) retryAfter(e *result.Error) string {
	if e.Code == result.RejectedForAccount || e.Code == result.RejectedForDeadline {
		return strconv.FormatFloat(float64(e.RetryAfterMs())/millisPerSecond, 'f', -1, 64)
	}
	return retryAfterSeconds(e, ex.req.ID)
}

// retryAfterSeconds returns the value of the Retry-After header, a decimal fraction
// of seconds. It varies by a quarter up or down, so that callers rejected at the same
// time do not retry at the same time.
func retryAfterSeconds(e *result.Error, id string) string {
	ms := float64(e.RetryAfterMs()) * (1 - retryAfterSpread + 2*retryAfterSpread*container.UnitHash(id))
	return strconv.FormatFloat(math.Round(ms)/millisPerSecond, 'f', -1, 64)
}
