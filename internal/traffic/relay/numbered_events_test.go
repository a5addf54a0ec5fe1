package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// numberedDialect is testDialect for servers whose events all have increasing IDs, and fields in
// lowercase.
type numberedDialect struct{ testDialect }

func (numberedDialect) EventFormat() EventFormat {
	return EventFormat{Numbered: true, LowercaseFields: true}
}

// newNumberedFixture is newFixture with numberedDialect.
func newNumberedFixture(t *testing.T, servers ...behaviour) *fixture {
	t.Helper()
	f := newFixture(t, streamRoutes(), servers...)
	f.relay.Dialect = numberedDialect{}
	return f
}

// TestStreamOfAnError has a server answer with a stream that holds nothing but an error. Guards
// against it being passed on as complete where all events have IDs.
func TestStreamOfAnError(t *testing.T) {
	rests := map[string]string{
		"error":                  errorHead,
		"error behind a comment": ": busy\n\n" + errorHead,
		"data":                   "data: overloaded\n\n",
	}
	forEachFraming(t, rests, func(t *testing.T, framing, rest string) {
		server := sequenceOfCalls(sendParts(framing, rest), sendEvents(5, 5))
		f := newNumberedFixture(t, server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))

		f = newNumberedFixture(t, sendParts(framing, rest))
		got = f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway)

		f = newNumberedFixture(t, sendParts(framing, comment, rest))
		got = f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.Assert(t, got.err != nil, "looks complete")
		assert.Equal(t, got.body, comment)
	})
}

// withIDs returns events with the IDs.
func withIDs(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: piece-" + id + "\n\n")
	}
	return b.String()
}

// TestEventsOutOfOrder has a server send an event twice, or one behind a later one. Guards against
// them being passed on.
func TestEventsOutOfOrder(t *testing.T) {
	rests := map[string]string{
		"event twice":           withIDs("3", "3", "4", "5"),
		"event before":          withIDs("3", "2", "4", "5"),
		"all events twice":      withIDs("3", "4", "5", "3", "4", "5"),
		"twice behind comments": withIDs("3") + ": busy\n\n" + withIDs("3", "4", "5"),
		"larger digits first":   withIDs("9", "10", "9"),
		"no number":             withIDs("3", "four", "5"),
		"negative":              withIDs("3", "-4", "5"),
		"empty":                 withIDs("3", "", "5"),
		"too large":             withIDs("3", "18446744073709551616"),
	}
	forEachFraming(t, rests, func(t *testing.T, framing, rest string) {
		behindPause := sendParts(framing, events(1, 2), rest)
		for _, spoiled := range []behaviour{sendParts(framing, events(1, 2)+rest), behindPause} {
			server := sequenceOfCalls(spoiled, sendEvents(5, 5))
			f := newNumberedFixture(t, server, server)
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
		}
		f := newNumberedFixture(t, behindPause)
		got := f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.Assert(t, got.err != nil, "looks complete")
		assert.Equal(t, got.body, events(1, 2))
	})
}

// TestResumedEventsOutOfOrder has a server go on with a stream at an event that was passed on
// before. Guards against that event being passed on twice.
func TestResumedEventsOutOfOrder(t *testing.T) {
	rests := map[string]string{
		"from the beginning":  events(1, 5),
		"from the last event": events(2, 5),
	}
	forEachFraming(t, rests, func(t *testing.T, framing, rest string) {
		server := sequenceOfCalls(sendEvents(2, 5), sendParts(framing, rest), sendEvents(5, 5))
		f := newNumberedFixture(t, server, server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))

		server = sequenceOfCalls(sendParts(framing, rest), sendEvents(5, 5))
		f = newNumberedFixture(t, server, server)
		got = f.send(http.MethodPost, "/draft/1", headerModel, "large", headerLastEventID, "2")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(3, 5))
	})
}

// TestNumberedEventsInOrder sends IDs that increase by more than one, and resumes behind an ID that
// is no number. Guards against a sound stream being broken off.
func TestNumberedEventsInOrder(t *testing.T) {
	whole := withIDs("3", "7", "10", "100", "1000")
	for _, last := range []string{"", "2", "piece-2"} {
		f := newNumberedFixture(t, sendParts(byChunks, whole))
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large", headerLastEventID, last)
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, whole)
		assert.Equal(t, f.callCount(), 1)
	}
}

// TestErrorBehindCutEvent has a server break an event off anywhere and write the head of an error
// behind it. Guards against the two being passed on as one event, which has an ID.
func TestErrorBehindCutEvent(t *testing.T) {
	third := events(3, 3)
	rests := make(map[string]string)
	for cut := range len(third) {
		rests[fmt.Sprintf("after %d bytes", cut)] = third[:cut] + errorHead
	}
	crlf := strings.ReplaceAll(third, "\n", "\r\n")
	rests["within a line that ends with CRLF"] = crlf[:len(crlf)-6] + errorHead
	rests["within a line that ends with CRLF, behind all events"] = events(3, 4) + strings.ReplaceAll(crlf[:len(crlf)-6], "3", "5") + errorHead
	forEachFraming(t, rests, func(t *testing.T, framing, rest string) {
		for _, spoiled := range []behaviour{sendParts(framing, events(1, 2)+rest), sendParts(framing, events(1, 2), rest)} {
			server := sequenceOfCalls(spoiled, sendEvents(5, 5))
			f := newNumberedFixture(t, server, server)
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
		}
		f := newNumberedFixture(t, sendParts(framing, rest))
		got := f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway)
	})
}
