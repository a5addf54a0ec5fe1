package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestInterruptionCause tells apart who ended a response.
func TestInterruptionCause(t *testing.T) {
	const deadline = clock.Millis(1_000)
	cases := map[string]struct {
		successor *plannedAttempt
		now       clock.Millis
		want      string
	}{
		"server":                      {nil, 500, causeServer},
		"next attempt planned":        {&plannedAttempt{}, 500, causeReplaced},
		"deadline":                    {nil, deadline, causeDeadline},
		"deadline, one had been free": {&plannedAttempt{}, deadline, causeDeadline},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ex := &exchange{deadline: deadline, succession: succession{successor: c.successor}}
			assert.Equal(t, ex.interruptionCause(c.now), c.want)
		})
	}
}

// TestErrorAfterBrokenStream guards against a stream that goes on as an error: it breaks off,
// and the next server answers the resumption with one. The caller must get the events so far
// and a broken connection: no text or head of the error, and no proper end.
func TestErrorAfterBrokenStream(t *testing.T) {
	const text = "overloaded"
	raw := func(response string) behaviour {
		return func(_ int, w http.ResponseWriter, r *http.Request) {
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = buffered.WriteString(strings.ReplaceAll(response, "ID", r.Header.Get(headerID)))
			_ = buffered.Flush()
		}
	}
	status := func(code int, headers ...string) behaviour {
		return func(_ int, w http.ResponseWriter, _ *http.Request) {
			for i := 0; i+1 < len(headers); i += 2 {
				w.Header().Set(headers[i], headers[i+1])
			}
			w.WriteHeader(code)
			_, _ = io.WriteString(w, text)
		}
	}
	cases := map[string]behaviour{
		"200, no events":            status(http.StatusOK, headerSigned, "yes"),
		"200, no proof":             status(http.StatusOK),
		"head twice":                raw("HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n" + headerSigned + ": yes\r\n\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n" + text),
		"another request's error":   raw("HTTP/1.1 500 Internal Server Error\r\n" + headerID + ": other\r\nContent-Length: 10\r\n\r\n" + text),
		"error without length":      raw("HTTP/1.1 500 Internal Server Error\r\n" + headerID + ": ID\r\n\r\n" + text),
		"error as an event, status": status(http.StatusInternalServerError, "Content-Type", "text/event-stream"),
		"bytes that are no answer":  raw(text),
	}
	for _, code := range []int{201, 204, 206, 302, 400, 401, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
		cases[http.StatusText(code)] = status(code)
		cases[http.StatusText(code)+", signed"] = status(code, headerSigned, "yes")
	}
	for name, onResume := range cases {
		t.Run(name, func(t *testing.T) {
			b := func(n int, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerLastEventID) == "" {
					sendEvents(2, 5)(n, w, r)
					return
				}
				onResume(n, w, r)
			}
			f := newFixture(t, streamRoutes(), b, b, b)
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
			assert.Assert(t, got.err != nil, "looks complete")
			assert.Equal(t, got.body, events(1, 2))
		})
	}
}
