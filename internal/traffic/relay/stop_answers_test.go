package relay

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endingDialect ends the requests of the relay when it decodes a response.
type endingDialect struct {
	testDialect
	f *fixture
}

func (d endingDialect) Decode(server string, status int, h http.Header) ResponseInfo {
	d.f.relay.EndRequests()
	time.Sleep(20 * time.Millisecond) // until the attempt's connection is closed
	return d.testDialect.Decode(server, status, h)
}

// TestStopBetweenHeadAndEvents has the daemon end its requests when the head and the first events
// of a stream have arrived. Guards against a stream that is begun, and at once broken off, by an
// attempt that has been ended.
func TestStopBetweenHeadAndEvents(t *testing.T) {
	f := newFixture(t, streamRoutes(), func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerSigned, "yes")
		_, _ = w.Write([]byte(events(1, 2)))
		_ = http.NewResponseController(w).Flush()
		hang(n, w, r)
	})
	f.relay.Dialect = endingDialect{f: f}
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// TestStopKeepsSilentStream has a begun stream be silent for longer than usual while the daemon
// ends its requests. Guards against giving its server up then: no other may go on any more.
func TestStopKeepsSilentStream(t *testing.T) {
	var f *fixture
	server := pauseAfterTwo(func() {
		time.AfterFunc(100*time.Millisecond, f.relay.EndRequests) // the caller's response has begun
	})
	f = newFixture(t, streamRoutes(), server, server)
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 5))
}

// TestStopEndsWaitForTables has a request wait for the tables when the daemon ends its requests.
// Guards against a wait that outlasts the daemon.
func TestStopEndsWaitForTables(t *testing.T) {
	f := newFixture(t, routes(), respond("ledger"))
	f.relay.Loaded = func() bool { return false }
	responses := make(chan callerResponse, 1)
	go func() { responses <- f.send(http.MethodPost, "/read/1") }()
	waitFor(t, 5*time.Second, func() bool { return f.relay.InFlight() == 1 })
	endedAt := time.Now()
	f.relay.EndRequests()
	got := <-responses
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(endedAt) < 200*time.Millisecond, "after %s", time.Since(endedAt))
	assert.Equal(t, f.callCount(), 0)
}

// sequenceOfCalls uses the nth behaviour for the nth call at any server, and the last one for all
// further calls.
func sequenceOfCalls(list ...behaviour) behaviour {
	var calls atomic.Int64
	return func(_ int, w http.ResponseWriter, r *http.Request) { sequence(list...)(int(calls.Add(1)), w, r) }
}

// TestStopEndsPause has a request wait for a server in place of one that was given up when the
// daemon ends its requests. Guards against a pause that outlasts the daemon, whose exit would close
// the connection without an answer.
func TestStopEndsPause(t *testing.T) {
	refuse := respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "1")
	server := sequenceOfCalls(hang, refuse)
	f := newFixture(t, streamRoutes(), server, server, server)
	responses := make(chan callerResponse, 1)
	lines := f.collectLog()
	go func() { responses <- f.send(http.MethodPost, "/draft/1", headerModel, "large") }()
	waitFor(t, 5*time.Second, func() bool { return lines.has("waiting for a server") })
	time.Sleep(minResumeDelay.Duration() + 2*minResumeDelay.Duration() + 100*time.Millisecond) // the third pause has begun
	endedAt := time.Now()
	f.relay.EndRequests()
	got := <-responses
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(endedAt) < maxResumeDelay.Duration()/2, "after %s", time.Since(endedAt))
}

// TestStopEndsHealthCheck has the open requests end while a busy server that leaves is asked whether
// it goes on after its answer. Guards against callers whose answers come after the exit.
func TestStopEndsHealthCheck(t *testing.T) {
	const answerMargin = 200 * time.Millisecond // of the daemon, between EndRequests and the exit
	for path, body := range map[string]string{"/post/1": "ledger", "/read/1": "ledger"} {
		t.Run(path, func(t *testing.T) {
			var f *fixture
			endedAt := make(chan time.Time, 1)
			f = newFixture(t, routes(), func(n int, w http.ResponseWriter, r *http.Request) {
				server, _ := f.currentView().Server(w.Header().Get(headerServer))
				server.Draining = true
				f.mu.Lock()
				f.view = f.view.WithServer(server.Server, 0)
				f.mu.Unlock()
				time.AfterFunc(50*time.Millisecond, func() {
					endedAt <- time.Now()
					f.relay.EndRequests()
				})
				unframed(&f, body, "", false)(n, w, r)
			})
			f.busy.Store(true)
			f.healthPath = "/health"
			f.setCatalog(2, f.routes)
			got := f.send(http.MethodPost, path)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusGatewayTimeout)
			assert.Assert(t, time.Since(<-endedAt) < answerMargin)
		})
	}
}
