package relay

import (
	"strconv"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// log writes one line about the request.
func (u *run) log(what string, server *fleet.Entry, more ...any) {
	l := u.relay
	fields := make([]any, 0, 16+len(more))
	fields = append(fields, "request", u.request.ID, "after_ms", int64(l.Clock.Now()-u.request.Arrived))
	if u.route != nil {
		fields = append(fields, "route", u.route.Name, "pool", u.pool.Name)
	}
	if u.model != "" {
		fields = append(fields, "model", u.model)
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

// retryAfter is when the caller should come back, in seconds with a fraction.
func retryAfter(e *result.Error) string {
	return strconv.FormatFloat(float64(e.Code.RetryAfterMs)/1000, 'f', -1, 64)
}
