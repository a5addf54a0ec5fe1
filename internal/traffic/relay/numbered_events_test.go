package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// numberedDialect is testDialect for servers whose events all have IDs.
type numberedDialect struct{ testDialect }

func (numberedDialect) EventFormat() EventFormat { return EventFormat{Numbered: true} }

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
		server := inOrder(sendParts(framing, rest), sendEvents(5, 5))
		f := newNumberedFixture(t, server, server)
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))

		f = newNumberedFixture(t, sendParts(framing, rest))
		got = f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway)

		const comment = ": busy\n\n"
		f = newNumberedFixture(t, sendParts(framing, comment, rest))
		got = f.send(http.MethodPost, "/once/1", headerModel, "large")
		assert.Assert(t, got.err != nil, "looks complete")
		assert.Equal(t, got.body, comment)
	})
}
