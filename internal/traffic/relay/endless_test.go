package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessly writes the text until the relay closes the connection, with a pause after each.
func endlessly(w http.ResponseWriter, r *http.Request, text string, pause time.Duration) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if pause > 0 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}
}

// TestEndlessBodyEndsAtDeadline has a server send a body without end. The caller must not
// take it for complete, and the server must learn of the end soon after the deadline.
func TestEndlessBodyEndsAtDeadline(t *testing.T) {
	ended := make(chan time.Time, 1)
	f := newFixture(t, routes(), func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerSigned, "yes")
		endlessly(w, r, strings.Repeat("x", 1<<10), 0)
		ended <- time.Now()
	})
	sentAt := time.Now()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.front.URL+"/post/1", http.NoBody)
	assert.NilError(t, err)
	request.Header.Set(headerID, "request-1")
	request.Header.Set("X-Key", "key-1")
	request.Header.Set(headerRemaining, "500")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	assert.Assert(t, err != nil, "the response looks complete")
	assert.Assert(t, (<-ended).Sub(sentAt) < 1_500*time.Millisecond)
}

// TestStreamWithoutEventsIsTakenOver has servers send bytes that make up no event: without a
// pause, or one now and then. Another server must take over the stream in time.
func TestStreamWithoutEventsIsTakenOver(t *testing.T) {
	cases := map[string]struct {
		text  string
		pause time.Duration
	}{
		"an event without end":         {strings.Repeat("data: x\n", 512), 0},
		"a line without end":           {strings.Repeat("x", 4<<10), 0},
		"an event's byte now and then": {"x", 200 * time.Millisecond},
		"line ends now and then":       {"\n", 200 * time.Millisecond},
		"comments now and then":        {": x\n\n", 200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := func(n int, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerLastEventID) != "" {
					sendEvents(5, 5)(n, w, r)
					return
				}
				w.Header().Set(headerSigned, "yes")
				_, _ = io.WriteString(w, events(1, 2))
				_ = http.NewResponseController(w).Flush()
				endlessly(w, r, c.text, c.pause)
			}
			f := newFixture(t, streamRoutes(), b, b)
			sentAt := time.Now()
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
			assert.NilError(t, got.err)
			assert.Assert(t, strings.HasSuffix(got.body, events(3, 5)), "%q", got.body)
			assert.Assert(t, time.Since(sentAt) < 3*time.Second, "%v", time.Since(sentAt))
		})
	}
}

// TestStreamWithoutLength has servers send a stream with neither a length nor chunks. It is
// complete if it ends with its connection after an event, and is taken over if it ends
// within one.
func TestStreamWithoutLength(t *testing.T) {
	b := func(_ int, w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n" + headerID + ": " + r.Header.Get(headerID) + "\r\n" + headerSigned + ": yes\r\n\r\n")
		if r.Header.Get(headerLastEventID) != "" {
			_, _ = buffered.WriteString(events(3, 5))
		} else {
			_, _ = buffered.WriteString(events(1, 2) + "id: 3\ndata: pie")
		}
		_ = buffered.Flush()
	}
	f := newFixture(t, streamRoutes(), b, b)
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 5))
	assert.Equal(t, f.callCount(), 2)
}

// TestSlowStreamIsKept has a server send each event in small parts with pauses, in less time
// than the route allows. No other server must take over.
func TestSlowStreamIsKept(t *testing.T) {
	slowly := func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "yes")
		for part := range strings.SplitAfterSeq(events(1, 3), "e") {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(350 * time.Millisecond)
		}
	}
	f := newFixture(t, streamRoutes(), slowly, slowly)
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 3))
	assert.Equal(t, f.callCount(), 1)
}
