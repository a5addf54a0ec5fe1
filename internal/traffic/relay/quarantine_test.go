package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// promptOf returns a prompt with the segments, the last of which is private.
func promptOf(value string) loadbalance.Prompt {
	var p loadbalance.Prompt
	for _, id := range strings.Split(value, ",") {
		p.Segments = append(p.Segments, loadbalance.Segment{ID: id, Tokens: 100})
		p.Tokens += 100
	}
	return p
}

// crashOn begins to answer. If the prompt has the segment, the server crashes, otherwise it
// sends all events.
func crashOn(f **fixture, segment string) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(r.Header.Values(headerPrompt), segment) {
			sendEvents(3, 3)(n, w, r)
			return
		}
		w.Header().Set(headerSigned, "yes")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(60 * time.Millisecond)
		go (*f).servers[w.Header().Get(headerServer)].CloseClientConnections()
		_ = (*f).servers[w.Header().Get(headerServer)].Listener.Close()
		panic(http.ErrAbortHandler)
	}
}

// TestQuarantinedPromptReachesNoServer has requests with one segment crash servers. After
// three crashes it must reach no other server, whether in a new request or a repeat, and a
// request without it must be served.
func TestQuarantinedPromptReachesNoServer(t *testing.T) {
	var f *fixture
	behaviours := make([]behaviour, 7)
	for i := range behaviours {
		behaviours[i] = crashOn(&f, "bad")
	}
	f = newFixture(t, streamRoutes(), behaviours...)
	for i := range 4 {
		f.send(http.MethodPost, "/draft/1", headerPrompt, fmt.Sprintf("a,bad,own-%d", i), headerID, fmt.Sprintf("request-%d", i))
		time.Sleep(150 * time.Millisecond) // crashes at the same moment count once
	}
	crashed := f.callCount()
	assert.Assert(t, crashed <= 5, "%d servers crashed", crashed)
	response := f.send(http.MethodPost, "/draft/1", headerPrompt, "b,bad,own-9")
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(response.body, "prompt_quarantined"), response.body)
	seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 30, "it states when a request is tried")
	assert.Equal(t, f.callCount(), crashed)
	assert.Equal(t, f.send(http.MethodPost, "/draft/1", headerPrompt, "a,c,own-9").status, http.StatusOK)
}

// TestBrokenOffAnswersAreNoCrashes checks that servers which break off answers and stay up
// lead to no quarantine.
func TestBrokenOffAnswersAreNoCrashes(t *testing.T) {
	f := newFixture(t, streamRoutes(), slices.Repeat([]behaviour{sendEvents(0, 3)}, 12)...)
	for i := range 6 {
		f.send(http.MethodPost, "/draft/1", headerPrompt, "a,unlucky,own", headerID, fmt.Sprintf("request-%d", i))
		time.Sleep(150 * time.Millisecond)
	}
	_, _, blocked := f.relay.Quarantine.Blocked([]quarantine.Part{quarantine.SegmentPart("a"), quarantine.SegmentPart("unlucky")})
	assert.Assert(t, !blocked)
	assert.Equal(t, f.callCount(), 6*3)
}

// TestQuarantineEndsRequestAtServer has a request wait at a server while a segment of its
// prompt is quarantined. The caller must get an error that doesn't promise that the request
// hasn't run.
func TestQuarantineEndsRequestAtServer(t *testing.T) {
	f := newFixture(t, streamRoutes(), hang)
	go func() {
		for f.callCount() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		segment := quarantine.SegmentPart("bad")
		now := f.relay.Clock.Now()
		f.relay.Quarantine.Update(quarantine.Evidence{Stored: map[quarantine.Part]quarantine.Quarantine{segment: {Since: now, Hold: 1_000}}}, now)
	}()
	startedAt := time.Now()
	response := f.send(http.MethodPost, "/draft/1", headerPrompt, "bad,own")
	assert.Equal(t, response.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(startedAt) < time.Second)
	assert.Equal(t, f.callCount(), 1)
}

// TestQuarantinedPromptIsTried checks that one request is let through once it is time, and
// that a sound answer ends the quarantine.
func TestQuarantinedPromptIsTried(t *testing.T) {
	f := newFixture(t, streamRoutes(), sendEvents(3, 3))
	segment := quarantine.SegmentPart("bad")
	now := f.relay.Clock.Now()
	evidence := quarantine.Evidence{
		Stored: map[quarantine.Part]quarantine.Quarantine{segment: {Since: now, Hold: 300 * clock.Millis(1)}},
		Owns:   func(quarantine.Part, int) bool { return true },
	}
	f.relay.Quarantine.Update(evidence, now)
	send := func() int { return f.send(http.MethodPost, "/draft/1", headerPrompt, "bad,own").status }
	assert.Equal(t, send(), http.StatusServiceUnavailable)
	time.Sleep(310 * time.Millisecond)
	assert.Equal(t, send(), http.StatusOK)
	f.relay.Quarantine.Update(evidence, f.relay.Clock.Now())
	assert.Equal(t, send(), http.StatusOK)
}
