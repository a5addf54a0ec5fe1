package relay

import (
	"context"
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// log writes one line about the request.
func (u *run) log(what string, server *fleet.Entry, more ...any) {
	l := u.relay
	fields := make([]any, 0, 16+len(more))
	fields = append(fields, "request", u.request.ID, "after_ms", int64(l.Clock.Now()-u.request.ReceivedAt))
	if u.route != nil {
		fields = append(fields, "route", u.route.Name, "pool", u.pool.Name)
	}
	if u.view != nil && u.view.Catalog != nil {
		fields = append(fields, "config_version", u.view.Catalog.Version)
	}
	if u.model != "" {
		fields = append(fields, "model", u.model, "confidence", u.trust)
	}
	if server != nil {
		fields = append(fields, "server", server.ID, "version", server.Version)
	}
	if u.request.Session != "" {
		fields = append(fields, "session", u.request.Session)
	}
	fields = append(fields, "attempts", u.sent)
	l.Log.Info(what, append(fields, more...)...)
}

// count counts the end of the request.
func (u *run) count(code result.Code) {
	u.relay.Metrics.ended(u.pool.Name, u.account.Name, code, u.relay.Clock.Now()-u.request.ReceivedAt)
}

// noteAnswered writes down the end of a request that has a whole answer of a server,
// which may be the server's own failure.
func (u *run) noteAnswered() {
	if u.status >= http.StatusInternalServerError {
		u.count(result.BackendFailed)
		u.log("ended with the server's failure", &u.server, "code", result.BackendFailed.Number, "status", u.status)
		return
	}
	u.count(result.OK)
	u.log("served", &u.server, "status", u.status)
}

// codeOf returns the code of a request's end.
func codeOf(err error) result.Code {
	switch {
	case errors.Is(err, errCallerLeft), errors.Is(err, context.Canceled):
		return result.CallerLeft
	case errors.Is(err, errCut):
		return result.StreamCut
	}
	return result.From(err).Code
}

// retryAfter is when the caller should come back, in seconds with a fraction.
// Requests that were refused together are spread by a quarter to either side, so
// that they don't come back together.
func retryAfter(e *result.Error, id string) string {
	const spread = 0.25
	ms := float64(e.RetryAfterMs()) * (1 - spread + 2*spread*container.Point(id))
	return strconv.FormatFloat(math.Round(ms)/millisPerSecond, 'f', -1, 64)
}
