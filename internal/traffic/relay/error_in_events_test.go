package relay

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
)

const (
	// errorHead is the head of the error of a server that fails while it streams.
	errorHead = "HTTP/1.1 500 Internal Server Error\r\n" + headerID + ": request-1\r\nContent-Length: 0\r\n\r\n"
	comment   = ": busy\n\n"
	// partPause separates two writes for the reader.
	partPause = 30 * time.Millisecond
)

// How a response states where its body ends.
const (
	byConnection = "connection"
	byChunks     = "chunks"
	byLength     = "length"
)

var framings = []string{byConnection, byChunks, byLength}

// sendParts sends a response whose body is written in parts, the first one together with the head.
func sendParts(framing string, parts ...string) behaviour {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		next := verifiedHead(r)
		switch framing {
		case byChunks:
			next += "Transfer-Encoding: chunked\r\n"
		case byLength:
			next += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(parts, "")))
		}
		next += "\r\n"
		for i, part := range parts {
			if framing == byChunks {
				part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				if i == len(parts)-1 {
					part += "0\r\n\r\n"
				}
			}
			if i > 0 {
				time.Sleep(partPause)
			}
			_, _ = io.WriteString(conn, next+part)
			next = ""
		}
	}
}

// streamsWithErrors are the rests of streams that begin with the given event and hold an error.
func streamsWithErrors(n int) map[string]string {
	return map[string]string{
		"error behind an event":    events(n, n) + errorHead,
		"error before an event":    errorHead + events(n, n),
		"error between events":     events(n, n) + errorHead + events(n+1, n+1),
		"error behind all events":  events(n, 5) + errorHead,
		"error behind a comment":   events(n, n) + ": busy\n\n" + errorHead,
		"text behind an event":     events(n, n) + "overloaded\n\n",
		"data without an event ID": events(n, n) + "data: overloaded\n\n",
	}
}

// forEachFraming runs the test with each rest of a stream from the nth event, in each framing.
func forEachFraming(t *testing.T, rests map[string]string, test func(t *testing.T, framing, rest string)) {
	for name, rest := range rests {
		for _, framing := range framings {
			t.Run(name+", framed by "+framing, func(t *testing.T) {
				t.Parallel()
				test(t, framing, rest)
			})
		}
	}
}

// TestErrorInFirstEvents has a server write an error in the same write as the first events of a
// stream. Guards against the error being passed on as a part of the stream, which looks complete,
// because event IDs were only asked for once an event had been passed on.
func TestErrorInFirstEvents(t *testing.T) {
	forEachFraming(t, streamsWithErrors(1), func(t *testing.T, framing, rest string) {
		server := sequenceOfCalls(sendParts(framing, rest), sendEvents(5, 5))
		f := newFixture(t, streamRoutes(), server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))
		assert.Equal(t, f.callCount(), 2)

		f = newFixture(t, streamRoutes(), sendParts(framing, rest))
		got = f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, f.callCount(), 1)

		server = sequenceOfCalls(sendParts(framing, comment, rest), sendEvents(5, 5))
		f = newFixture(t, streamRoutes(), server, server)
		got = f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, comment+events(1, 5))
	})
}

// TestErrorInLaterEvents is TestErrorInFirstEvents behind events that were passed on.
func TestErrorInLaterEvents(t *testing.T) {
	forEachFraming(t, streamsWithErrors(3), func(t *testing.T, framing, rest string) {
		spoiled := sendParts(framing, events(1, 2), rest)
		server := sequenceOfCalls(spoiled, sendEvents(5, 5))
		f := newFixture(t, streamRoutes(), server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))

		f = newFixture(t, streamRoutes(), spoiled)
		got = f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.Assert(t, got.err != nil, "looks complete")
		assert.Equal(t, got.body, events(1, 2))
	})
}

// TestErrorInResumedEvents is TestErrorInFirstEvents for a server that goes on with a stream, after
// another one broke off or at the request of the caller.
func TestErrorInResumedEvents(t *testing.T) {
	forEachFraming(t, streamsWithErrors(3), func(t *testing.T, framing, rest string) {
		server := sequenceOfCalls(sendEvents(2, 5), sendParts(framing, rest), sendEvents(5, 5))
		f := newFixture(t, streamRoutes(), server, server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))

		server = sequenceOfCalls(sendParts(framing, rest), sendEvents(5, 5))
		f = newFixture(t, streamRoutes(), server, server)
		got = f.send(http.MethodPost, "/draft/1", headerModel, "large", headerLastEventID, "2")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(3, 5))
	})
}

// TestErrorInSuccessorsEvents is TestErrorInFirstEvents for a server that is called while the one
// before is silent.
func TestErrorInSuccessorsEvents(t *testing.T) {
	silent := pauseAfterTwo(func() {})
	forEachFraming(t, streamsWithErrors(3), func(t *testing.T, framing, rest string) {
		server := sequenceOfCalls(silent, sendParts(framing, rest), sendEvents(5, 5))
		f := newFixture(t, streamRoutes(), server, server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))
		assert.Equal(t, f.callCount(), 3)
	})
}

// TestErrorInMovedStream is TestErrorInFirstEvents for a server that a stream is moved to since it
// would miss its deadline where it is.
func TestErrorInMovedStream(t *testing.T) {
	const total, pause = 50, 150 * time.Millisecond
	slow := func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerSigned, "yes")
		for i := 1; i <= total && r.Context().Err() == nil; i++ {
			_, _ = io.WriteString(w, events(i, i))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}
	for _, framing := range framings {
		t.Run("framed by "+framing, func(t *testing.T) {
			t.Parallel()
			spoil := func(n int, w http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
				sendParts(framing, events(last+1, last+1)+errorHead)(n, w, r)
			}
			measured := sequenceOfCalls(slow, spoil, sendEvents(total, total))
			server := func(n int, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerID) == warmUpID {
					sendEvents(total, total)(n, w, r)
					return
				}
				measured(n, w, r)
			}
			f := newFixture(t, streamRoutes(), server, server, server)
			f.relay.Balancer.SetFeatures(loadfeatures.Features{SharedCapacity: true})
			for range warmUp {
				f.send(http.MethodPost, "/draft/1", headerID, warmUpID, headerModel, "large")
			}
			f.recordInterEvent(10)
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large", headerLengthHint, fmt.Sprint(total*8))
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, total))
			assert.Equal(t, f.callCount()-warmUp, 3)
		})
	}
}

// TestSoundStreams sends forms of streams that are sound, in one write, in two with a part of the
// stream each, and behind a part by another server. They must be passed on as they are, also where
// events are numbered.
func TestSoundStreams(t *testing.T) {
	rests := map[string]string{
		"events":                   events(3, 5),
		"comment before":           ": busy\n\n" + events(3, 5),
		"comment between":          events(3, 3) + ": busy\n\n" + events(4, 5),
		"comment behind":           events(3, 5) + ": busy\n\n",
		"comment within":           ": busy\n" + strings.ReplaceAll(events(3, 5), "\ndata", "\n: busy\ndata"),
		"lines end with CRLF":      strings.ReplaceAll(events(3, 5), "\n", "\r\n"),
		"line with a new version":  events(3, 3) + "weight-versions: 2\n" + events(4, 5),
		"further fields":           strings.ReplaceAll(events(3, 5), "id: ", "event: piece\nretry: 10\nid: "),
		"ID behind the data":       "data: piece-3\nid: 3\n\n" + events(4, 5),
		"several lines of data":    strings.ReplaceAll(events(3, 5), "data: ", "data:\ndata: "),
		"head quoted in the data":  strings.ReplaceAll(events(3, 5), "piece", "HTTP/1.1 500 Internal Server Error"),
		"no blanks behind a colon": strings.ReplaceAll(events(3, 5), ": ", ":"),
	}
	forEachFraming(t, rests, func(t *testing.T, framing, rest string) {
		whole := events(1, 2) + rest
		for _, parts := range [][]string{{whole}, {events(1, 2), rest}, {whole[:len(whole)/2], whole[len(whole)/2:]}, {whole[:len(whole)-1], whole[len(whole)-1:]}} {
			f := newFixture(t, streamRoutes(), sendParts(framing, parts...))
			for _, dialect := range []Dialect{testDialect{}, numberedDialect{}} {
				f.relay.Dialect = dialect
				for _, path := range []string{"/draft/1", "/once/1"} {
					got := f.send(http.MethodPost, path, headerModel, "large")
					assert.NilError(t, got.err)
					assert.Equal(t, got.body, whole)
				}
			}
			assert.Equal(t, f.callCount(), 4)
		}
		server := sequenceOfCalls(sendEvents(2, 5), sendParts(framing, rest))
		f := newNumberedFixture(t, server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, whole)
		assert.Equal(t, f.callCount(), 2)
	})
}

// TestErrorInKeptAnswer has a small model's answer hold an error, and the largest model's server
// break off. Guards against the small answer being served as complete: it is read in one piece and
// kept, and was only asked to end with an event.
func TestErrorInKeptAnswer(t *testing.T) {
	for name, rest := range streamsWithErrors(1) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := byModel(map[string]behaviour{"small": withConfidence("20", respond(rest)), "large": closeConn})
			f := newFixture(t, streamRoutes(), server, server, server)
			f.relay.Balancer.SetFeatures(loadfeatures.Features{SharedCapacity: true})
			got := f.send(http.MethodPost, "/draft/1", headerModel, "*")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
		})
	}
}
