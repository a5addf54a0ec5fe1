package relay

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// announcing adds the announcement of the server's exit to all of its responses.
func announcing(b behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerLeaving, "1")
		b(n, w, r)
	}
}

// turnAway responds that the server wants no requests for the time in ms.
func turnAway(ms int, headers ...string) behaviour {
	return respondStatus(http.StatusServiceUnavailable, append([]string{headerPause, strconv.Itoa(ms), "Retry-After", "77"}, headers...)...)
}

func (f *fixture) setView(change func(v *fleet.View) *fleet.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = change(f.view)
}

// callsTo returns the number of calls that reached the server.
func (f *fixture) callsTo(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, call := range f.calls {
		if call.server == server {
			n++
		}
	}
	return n
}

// TestLeavingServerGetsNoRequests has the only server announce its exit in a response of
// any kind. Requests that follow within the drain time must be served, and later ones be
// rejected at once, also if the server registers as ready again.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	cases := map[string]struct {
		path, model string
		response    behaviour
	}{
		"served":                {"/read/1", "", respond("ledger")},
		"server error":          {"/read/1", "", respondStatus(500)},
		"client error":          {"/post/1", "", respondStatus(404)},
		"refusal":               {"/post/1", "", respondStatus(503, headerNotExecuted, "1")},
		"turned away":           {"/post/1", "", turnAway(0, headerNotExecuted, "1")},
		"unverified response":   {"/read/1", "", respondStatus(200)},
		"stream":                {"/draft/1", "large", sendEvents(5, 5)},
		"interrupted stream":    {"/once/1", "large", sendEvents(2, 5)},
		"low confidence":        {"/draft/1", "*", withConfidence("20", sendEvents(5, 5))},
		"of a discarded answer": {"/draft/1", "*", byModel(map[string]behaviour{"small": withConfidence("20", sendEvents(5, 5)), "large": sendEvents(5, 5)})},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, append(routes(), streamRoutes()...), sequence(announcing(c.response), respond("ledger")))
			f.send(http.MethodPost, c.path, headerModel, c.model)
			got := f.send(http.MethodPost, "/read/1")
			assert.Equal(t, got.status, http.StatusOK, "within the drain time")
			time.Sleep(testDrainTime.Duration())
			entry, _ := f.currentView().Server("s1")
			f.setView(func(v *fleet.View) *fleet.View { return v.WithServer(entry.Server, f.relay.Clock.Now()) })
			calls, sentAt := f.callCount(), time.Now()
			got = f.send(http.MethodPost, "/read/1")
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Assert(t, time.Since(sentAt) < 500*time.Millisecond)
			assert.Equal(t, f.callCount(), calls)
		})
	}
}

// TestStreamOfLeavingServerFinishes checks that a request under way is not moved when its
// server announces its exit, while requests that follow go elsewhere at once.
func TestStreamOfLeavingServerFinishes(t *testing.T) {
	slow := func(n int, w http.ResponseWriter, r *http.Request) {
		sendEvents(2, 2)(n, w, r)
		time.Sleep(2 * testDrainTime.Duration())
		r.Header.Set(headerLastEventID, "2")
		sendEvents(5, 5)(n, w, r)
	}
	f := newFixture(t, append(routes(), streamRoutes()...), announcing(slow), respond("other"))
	second, _ := f.view.Server("s2")
	f.view = f.view.WithoutServer("s2")
	var stream sync.WaitGroup
	stream.Go(func() {
		got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
		assert.Check(t, got.err)
		assert.Check(t, got.body == events(1, 5), got.body)
	})
	time.Sleep(testDrainTime.Duration() / 2)
	f.setView(func(v *fleet.View) *fleet.View { return v.WithServer(second.Server, 0) })
	for range 10 {
		assert.Equal(t, f.send(http.MethodPost, "/read/1").body, "other")
	}
	stream.Wait()
	assert.Equal(t, f.callsTo("s1"), 1)
}

// TestPausedServerGetsNoRequests has one of two servers turn requests away. Its own
// Retry-After must not reach the callers of requests that the other one serves.
func TestPausedServerGetsNoRequests(t *testing.T) {
	f := newFixture(t, routes(), turnAway(5_000, headerNotExecuted, "1"), respond("other"))
	for i := range 30 {
		got := f.send(http.MethodPost, "/post/1", headerID, strconv.Itoa(i))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "other")
		assert.Equal(t, got.header.Get("Retry-After"), "")
	}
	assert.Equal(t, f.callsTo("s1"), 1)
}

// TestZeroPauseCountsAsFull has one of two servers turn requests away without a pause. For
// some time it must be used less, as if it had only said that it is full.
func TestZeroPauseCountsAsFull(t *testing.T) {
	f := newFixture(t, routes(), turnAway(0, headerNotExecuted, "1"), respond("other"))
	for i := range 30 {
		assert.Equal(t, f.send(http.MethodPost, "/post/1", headerID, strconv.Itoa(i)).status, http.StatusOK)
	}
	assert.Equal(t, f.callsTo("s1"), 1)
}

// TestPausedPoolRejects has all servers turn requests away. Requests must be rejected at
// once, and callers be told to return after the first pause, but not all at its end.
func TestPausedPoolRejects(t *testing.T) {
	f := newFixture(t, routes(), turnAway(3_000, headerNotExecuted, "1"), turnAway(9_000, headerNotExecuted, "1"))
	f.send(http.MethodPost, "/post/1")
	f.send(http.MethodPost, "/post/1")
	calls, times := f.callCount(), make(map[string]bool)
	for _, id := range []string{"r1", "r2", "r3"} {
		sentAt := time.Now()
		got := f.send(http.MethodPost, "/post/1", headerID, id)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(sentAt) < 500*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 2.5 && seconds <= 5, "%v", seconds)
		times[got.header.Get("Retry-After")] = true
	}
	assert.Equal(t, f.callCount(), calls)
	assert.Equal(t, len(times), 3)
}

// TestResumedStreamSparesPausedServer breaks a stream off while the other server is paused.
// The stream must be resumed where it broke off.
func TestResumedStreamSparesPausedServer(t *testing.T) {
	f := newFixture(t, append(routes(), streamRoutes()...), sequence(sendEvents(2, 5), sendEvents(5, 5)), turnAway(5_000))
	entry, _ := f.view.Server("s2")
	f.relay.Balancer.RecordAnnouncement(&entry, loadbalance.Announcement{Pause: 5_000}, f.relay.Clock.Now())
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 5))
	assert.Equal(t, f.callsTo("s2"), 0)
}

// TestInterruptedStreamEndsInLongPause breaks a stream off while all servers are paused.
// The stream must wait for a pause that ends in time, and end at once otherwise.
func TestInterruptedStreamEndsInLongPause(t *testing.T) {
	cases := map[string]struct {
		pause    clock.Millis
		complete bool
	}{
		"short pause": {600, true},
		"long pause":  {4_000, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, streamRoutes(), sequence(func(n int, w http.ResponseWriter, r *http.Request) {
				entry, _ := f.currentView().Server("s1")
				f.relay.Balancer.RecordAnnouncement(&entry, loadbalance.Announcement{Pause: c.pause}, f.relay.Clock.Now())
				sendEvents(2, 5)(n, w, r)
			}, sendEvents(5, 5)))
			sentAt := time.Now()
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
			assert.Equal(t, got.err == nil, c.complete)
			if c.complete {
				assert.Equal(t, got.body, events(1, 5))
				return
			}
			assert.Equal(t, got.body, events(1, 2))
			assert.Assert(t, time.Since(sentAt) < time.Second, "%v", time.Since(sentAt))
		})
	}
}

// firstVersionRouter allows the version v1 as long as one of its servers is in service.
type firstVersionRouter struct{ AnyVersionRouter }

func (firstVersionRouter) AllowedVersions(v *fleet.View, pool, _ string, _ *Request, _ bool) func(string) bool {
	for _, e := range v.Pool(pool) {
		if e.Version == "v1" && v.InService(&e) {
			return func(version string) bool { return version == "v1" }
		}
	}
	return nil
}

// TestVersionOfDepartedServers has the only server of a version leave, while its entry says
// that it is ready. Requests that would run on that version must run on another one.
func TestVersionOfDepartedServers(t *testing.T) {
	f := newFixture(t, routes(), announcing(respond("first")), respond("second"))
	f.relay.VersionRouter = firstVersionRouter{}
	entry, _ := f.currentView().Server("s1")
	entry.Version = "v1"
	f.setView(func(v *fleet.View) *fleet.View { return v.WithServer(entry.Server, 0) })
	assert.Equal(t, f.send(http.MethodPost, "/read/1").body, "first")
	time.Sleep(testDrainTime.Duration())
	assert.Equal(t, f.send(http.MethodPost, "/read/1").body, "second")
}

// outcomeRecorder records the outcomes of attempts.
type outcomeRecorder struct {
	AnyVersionRouter
	outcomes []Outcome
}

func (o *outcomeRecorder) RecordOutcome(_ *fleet.View, _ *fleet.Entry, _ *catalog.Route, outcome Outcome) {
	o.outcomes = append(o.outcomes, outcome)
}

// TestTurnedAwayIsNoFailure checks that a server that asks for a pause is neither evidence
// against its version nor counted as full afterwards, while one that only fails is.
func TestTurnedAwayIsNoFailure(t *testing.T) {
	cases := map[string]struct {
		response behaviour
		outcomes int
		status   int
	}{
		"turned away, not run":    {turnAway(10, headerNotExecuted, "1"), 0, 503},
		"turned away, no claim":   {turnAway(10), 0, 502},
		"server error, no claims": {respondStatus(503), 1, 502},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			router := &outcomeRecorder{}
			f := newFixture(t, routes(), c.response)
			f.relay.VersionRouter = router
			got := f.send(http.MethodPost, "/post/1")
			assert.Equal(t, got.status, c.status)
			assert.Assert(t, got.header.Get("Retry-After") != "77")
			assert.Equal(t, len(router.outcomes), c.outcomes)
		})
	}
}

// planAhead returns an exchange whose next attempt is planned, and the time.
func (f *fixture) planAhead() (*exchange, clock.Millis) {
	f.t.Helper()
	now := f.relay.Clock.Now()
	httpReq := httptest.NewRequestWithContext(f.t.Context(), http.MethodPost, "/read/1", nil)
	ex := &exchange{
		relay: f.relay, httpReq: httpReq, deadline: now + 2_000,
		req: &Request{ID: "request-1", Method: http.MethodPost, Host: "desk.example", Path: "/read/1", Target: "/read/1", Header: http.Header{}, APIKey: "key-1", ReceivedAt: now},
	}
	ex.w = &callerWriter{ResponseWriter: httptest.NewRecorder(), ex: ex}
	planned, rejection := ex.plan(planRequest{now: now, paidLater: true})
	assert.Assert(f.t, rejection == nil)
	ex.successor = planned
	return ex, now
}

// TestPlannedAttemptIsCheckedWhenSent has a server announce that it wants no more requests
// after an attempt there was planned.
func TestPlannedAttemptIsCheckedWhenSent(t *testing.T) {
	cases := map[string]struct {
		announcement loadbalance.Announcement
		isDropped    bool
	}{
		"pause":                  {loadbalance.Announcement{Pause: 5_000}, true},
		"leaving for some time":  {loadbalance.Announcement{Leaving: true}, true},
		"no announcement at all": {loadbalance.Announcement{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, routes(), respond("first"), respond("second"))
			ex, now := f.planAhead()
			server := ex.successor.choice.Server
			f.relay.Balancer.RecordAnnouncement(&server, c.announcement, now-testDrainTime)
			ex.state = stateWait
			assert.NilError(t, ex.serve())
			assert.Equal(t, ex.attempts, 1)
			assert.Equal(t, f.callsTo(server.ID) == 0, c.isDropped)
			assert.Equal(t, f.relay.Balancer.OwnLoads()[server.ID].Calls, 0)
		})
	}
}
