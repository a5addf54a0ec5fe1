package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// The pauses of the test servers exceed the longest time that an attempt waits while
// another server can take over: the idle timeout of a stream and the header timeout of
// a plain call.
const (
	streamPause = 2_200 * time.Millisecond
	plainPause  = 1_500 * time.Millisecond
)

// pauseAfterTwo sends two of five events, calls during and sends the others after
// streamPause. A request to resume the stream is recorded as a call and fails.
func pauseAfterTwo(during func()) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLastEventID) != "" {
			closeConn(n, w, r)
			return
		}
		w.Header().Set(headerSigned, "yes")
		_, _ = w.Write([]byte(events(1, 2)))
		_ = http.NewResponseController(w).Flush()
		during()
		time.Sleep(streamPause)
		_, _ = w.Write([]byte(events(3, 5)))
	}
}

// warmUp is the number of requests that are answered at once before the one that has to
// wait, so that the expected response time is short.
const (
	warmUp   = 20
	warmUpID = "warm-up"
)

// pauseBeforeHeader calls during and responds after plainPause. Requests with warmUpID
// are answered at once.
func pauseBeforeHeader(during func()) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerID) != warmUpID {
			during()
			time.Sleep(plainPause)
		}
		respond("ledger")(n, w, r)
	}
}

// TestSilentServerIsKeptWithoutSuccessor has a server pause for longer than the relay
// waits while another server can take over. Where none can, because of the
// configuration, the retry budget or the other servers, the caller must get the
// complete response of the server that paused.
func TestSilentServerIsKeptWithoutSuccessor(t *testing.T) {
	noBudget := func(f *fixture) { f.relay.RetryBudget = admission.NewSharedRetryBudget(0, 0, 10_000) }
	removeOthers := func(f *fixture) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, id := range []string{"s1", "s2"} {
			if id != f.calls[len(f.calls)-1].server {
				f.view = f.view.WithoutServer(id)
			}
		}
	}
	cases := map[string]struct {
		before func(*fixture) // before the request
		during func(*fixture) // during the pause
	}{
		"key revoked":      {during: func(f *fixture) { f.setKeys(2, f.routes, map[string]catalog.ClientAccount{}) }},
		"route removed":    {during: func(f *fixture) { f.setCatalog(2, nil) }},
		"no retry budget":  {before: noBudget},
		"no other server":  {during: removeOthers},
		"others evacuated": {during: func(f *fixture) { f.mu.Lock(); defer f.mu.Unlock(); f.view = f.view.WithEvacuated("dc-1", true) }},
	}
	requests := map[string]struct {
		routes []catalog.Route
		path   string
		warmUp int
		pause  func(during func()) behaviour
		body   string
	}{
		"stream":     {streamRoutes(), "/draft/1", 0, pauseAfterTwo, events(1, 5)},
		"plain call": {routes(), "/read/1", warmUp, pauseBeforeHeader, "ledger"},
	}
	for name, c := range cases {
		for kind, request := range requests {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				var f *fixture
				server := request.pause(func() {
					if c.during != nil {
						c.during(f)
					}
				})
				f = newFixture(t, request.routes, server, server)
				for range request.warmUp {
					f.send(http.MethodPost, request.path, headerModel, "large", headerID, warmUpID)
				}
				if c.before != nil {
					c.before(f)
				}
				got := f.send(http.MethodPost, request.path, headerModel, "large")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, request.body)
				assert.Equal(t, f.callCount(), request.warmUp+1)
			})
		}
	}
}

// pauseBetween writes the first bytes of a response, calls during, pauses and writes the
// rest. ID stands for the request's ID. Requests with warmUpID are answered at once.
func pauseBetween(pause time.Duration, first, rest string, during func()) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		if id == warmUpID {
			respond("ledger")(n, w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte(strings.ReplaceAll(first, "ID", id)))
		during()
		time.Sleep(pause)
		_, _ = conn.Write([]byte(strings.ReplaceAll(rest, "ID", id)))
	}
}

// TestSilenceWithinMessage has a server pause anywhere in a response while the key is
// revoked, so that no other server may take over. The caller must get the complete
// response of the server that paused.
func TestSilenceWithinMessage(t *testing.T) {
	const (
		status  = "HTTP/1.1 200 OK\r\n"
		header  = status + headerID + ": ID\r\n" + headerSigned + ": yes\r\n"
		chunked = header + "Transfer-Encoding: chunked\r\n\r\n"
	)
	all := events(1, 5)
	half := len(all) / 2
	wholeBody := header + "Content-Length: " + strconv.Itoa(len(all)) + "\r\n\r\n"
	oneChunk := fmt.Sprintf("%x\r\n", len(all))
	cases := map[string]struct {
		stream      bool
		first, rest string
	}{
		"in a chunk":                  {true, chunked + oneChunk + all[:half], all[half:] + "\r\n0\r\n\r\n"},
		"in the size of a chunk":      {true, chunked + oneChunk[:1], oneChunk[1:] + all + "\r\n0\r\n\r\n"},
		"before the end of chunks":    {true, chunked + oneChunk + all + "\r\n", "0\r\n\r\n"},
		"in a body of stated length":  {true, wholeBody + all[:half], all[half:]},
		"in the header":               {false, header, "Content-Length: 6\r\n\r\nledger"},
		"after an unrelated response": {false, status + headerID + ": other\r\nContent-Length: 5\r\n\r\nother", header + "Content-Length: 6\r\n\r\nledger"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path, routes, want, pause, warm := "/read/1", routes(), "ledger", plainPause, warmUp
			if c.stream {
				path, routes, want, pause, warm = "/draft/1", streamRoutes(), all, streamPause, 0
			}
			var f *fixture
			server := pauseBetween(pause, c.first, c.rest, func() { f.setKeys(2, f.routes, map[string]catalog.ClientAccount{}) })
			f = newFixture(t, routes, server, server)
			for range warm {
				f.send(http.MethodPost, path, headerModel, "large", headerID, warmUpID)
			}
			got := f.send(http.MethodPost, path, headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, want)
			assert.Equal(t, f.callCount(), warm+1)
		})
	}
}

// TestDroppedSuccessorKeepsColdTokens has a server pause while the only other one is cold
// and the retry budget is exhausted. The attempts that are planned there and dropped must
// use none of the requests that the cold server may get.
func TestDroppedSuccessorKeepsColdTokens(t *testing.T) {
	var f *fixture
	var cold fleet.Server
	f = newFixture(t, streamRoutes(), pauseAfterTwo(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.view = f.view.WithServer(cold, f.relay.Clock.Now())
	}), sendEvents(5, 5))
	f.relay.RetryBudget = admission.NewSharedRetryBudget(0, 0, 10_000)
	second, _ := f.view.Server("s2")
	cold = second.Server
	cold.ColdRemaining = 60_000
	pool := catalog.Pool{Name: "text", TokenMemory: 100_000, TokensPerEvent: 8, ColdRate: 1}
	f.view = f.view.WithoutServer("s2").WithHost("h1", fleet.Host{Address: "10.0.0.1:1"}).WithCatalog(catalog.New(catalog.Tables{
		Version: 2, Routes: streamRoutes(), Pools: []catalog.Pool{pool}, Accounts: map[string]catalog.ClientAccount{"key-1": {Name: "smiths"}}, RequireKey: true,
	}))
	f.relay.Host = "h1"
	coldOnly := fleet.NewView().WithServer(cold, f.relay.Clock.Now())
	requestsAllowed := func(now clock.Millis) (n int) {
		for ; ; n++ {
			request := loadbalance.Request{Pool: pool, Self: "h1", Hosts: []string{"h1"}, Now: now}
			if _, outcome := f.relay.Balancer.Choose(coldOnly, request); outcome != loadbalance.Chosen {
				return n
			}
		}
	}
	now := f.relay.Clock.Now()
	assert.Equal(t, requestsAllowed(now-10_000), 0, "the budget of the cold server starts empty")
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 5))
	assert.Equal(t, f.callCount(), 1)
	assert.Equal(t, requestsAllowed(f.relay.Clock.Now()), 3, "the burst of a cold server")
}

// TestSuccessorTakesOverLater has a server go silent while no other server is in
// service. Once one is, it must take over the request.
func TestSuccessorTakesOverLater(t *testing.T) {
	silent := func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerSigned, "yes")
		_, _ = w.Write([]byte(events(1, 2)))
		_ = http.NewResponseController(w).Flush()
		hang(n, w, r)
	}
	f := newFixture(t, streamRoutes(), silent, sendEvents(5, 5))
	second, _ := f.view.Server("s2")
	f.view = f.view.WithoutServer("s2")
	time.AfterFunc(streamPause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.view = f.view.WithServer(second.Server, 0)
	})
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 5))
}

// TestEscalationNeedsServer has the pool lose the server that could run the largest
// model while the small model runs. The caller must get the small model's answer.
func TestEscalationNeedsServer(t *testing.T) {
	cases := map[string]struct {
		during func(*fixture)
	}{
		"no server in service": {func(f *fixture) { f.mu.Lock(); defer f.mu.Unlock(); f.view = f.view.WithEvacuated("dc-1", true) }},
		"key revoked":          {func(f *fixture) { f.setKeys(2, f.routes, map[string]catalog.ClientAccount{}) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, streamRoutes(), func(n int, w http.ResponseWriter, r *http.Request) {
				c.during(f)
				withConfidence("20", sendEvents(5, 5))(n, w, r)
			})
			got := f.send(http.MethodPost, "/draft/1", headerModel, "*")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
			assert.Equal(t, f.callCount(), 1)
		})
	}
}

// retriesLeft empties the retry budget of the pool and returns how many retries it had.
func (f *fixture) retriesLeft() int {
	n := 0
	for f.relay.RetryBudget.TryAcquire("text", f.relay.Clock.Now()) {
		n++
	}
	return n
}

// onceThen uses first for the first call that isn't a warm-up, on whichever server, and
// then for all others.
func onceThen(first, then behaviour) behaviour {
	var calls atomic.Int32
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerID) != warmUpID && calls.Add(1) == 1 {
			first(n, w, r)
			return
		}
		then(n, w, r)
	}
}

// TestSilenceInHeaderReleasesSlots has a server pause between two lines of its header
// while another can take over. No slot may stay taken, and one retry is used.
func TestSilenceInHeaderReleasesSlots(t *testing.T) {
	cases := map[string]string{
		"after the status line":          "HTTP/1.1 200 OK\r\n",
		"after a header line":            "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n",
		"within a header line":           "HTTP/1.1 200 OK\r\n" + headerID + ": I",
		"before the first byte":          "",
		"after an unrelated status line": "HTTP/1.1 200 OK\r\n" + headerID + ": other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n",
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := onceThen(pauseBetween(3*time.Second, first, "", func() {}), respond("ledger"))
			f := newFixture(t, routes(), server, server, server)
			for range warmUp {
				f.send(http.MethodPost, "/read/1", headerID, warmUpID)
			}
			f.relay.RetryBudget = admission.NewSharedRetryBudget(0, 100, 10_000)
			got := f.send(http.MethodPost, "/read/1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			time.Sleep(100 * time.Millisecond)
			taken := 0
			for _, load := range f.relay.Balancer.OwnLoads() {
				taken += load.Calls
			}
			assert.Check(t, taken == 0, "%d slots are still taken", taken)
			assert.Check(t, f.retriesLeft() == 92, "more than one retry was used")
		})
	}
}

// TestSuccessorRefuses has a server go silent in the middle of a stream, and the server that
// takes over refuse it at first. The stream must go on there once it can, although nothing
// else may take it over in between.
func TestSuccessorRefuses(t *testing.T) {
	removeFor := func(f *fixture, id string, d time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		e, _ := f.view.Server(id)
		f.view = f.view.WithoutServer(id)
		time.AfterFunc(d, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.view = f.view.WithServer(e.Server, 0)
		})
	}
	cases := map[string]struct {
		refusals  int
		onRefusal func(f *fixture, n int) // the nth refusal, from 1
	}{
		"once, key revoked": {1, func(f *fixture, _ int) { f.setKeys(2, f.routes, map[string]catalog.ClientAccount{}) }},
		"many times":        {4, func(*fixture, int) {}},
		"once, out of service for a second": {1, func(f *fixture, _ int) {
			removeFor(f, "s2", time.Second)
		}},
		"once, retry budget exhausted for a second": {1, func(f *fixture, _ int) {
			f.relay.RetryBudget.SetLimits(0, 0)
			time.AfterFunc(time.Second, func() { f.relay.RetryBudget.SetLimits(10, 100) })
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *fixture
			silent := func(n int, w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerSigned, "yes")
				_, _ = w.Write([]byte(events(1, 2)))
				_ = http.NewResponseController(w).Flush()
				f.mu.Lock()
				f.view = f.view.WithoutServer("s1")
				f.mu.Unlock()
				hang(n, w, r)
			}
			f = newFixture(t, streamRoutes(), silent, func(n int, w http.ResponseWriter, r *http.Request) {
				if n > c.refusals {
					sendEvents(5, 5)(n, w, r)
					return
				}
				c.onRefusal(f, n)
				respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "yes")(n, w, r)
			})
			second, _ := f.view.Server("s2")
			f.view = f.view.WithoutServer("s2")
			time.AfterFunc(time.Second, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.view = f.view.WithServer(second.Server, 0)
			})
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
		})
	}
}

// TestStalledStreamEnds has a stream lose its only server for good. The caller must learn of
// it well before the deadline, so that it can resume the stream elsewhere.
func TestStalledStreamEnds(t *testing.T) {
	var f *fixture
	f = newFixture(t, streamRoutes(), func(n int, w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.view = f.view.WithoutServer("s1")
		f.mu.Unlock()
		sendEvents(2, 5)(n, w, r)
	})
	sentAt := time.Now()
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large", headerRemaining, "20000")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 2))
	assert.Assert(t, time.Since(sentAt) < resumeWait.Duration()+time.Second, "%v", time.Since(sentAt))
}

// TestSilentServerEndsAtDeadline has the only server stay silent. The caller must get
// the error at the request's deadline.
func TestSilentServerEndsAtDeadline(t *testing.T) {
	f := newFixture(t, routes(), func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerID) == warmUpID {
			respond("ledger")(n, w, r)
			return
		}
		hang(n, w, r)
	})
	for range warmUp {
		f.send(http.MethodPost, "/read/1", headerID, warmUpID)
	}
	// Ends the request if it doesn't end by itself.
	abort := time.AfterFunc(3*time.Second, f.front.CloseClientConnections)
	defer abort.Stop()
	sentAt := time.Now()
	got := f.send(http.MethodPost, "/read/1", headerRemaining, "600")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(sentAt) < 2*time.Second, "%v", time.Since(sentAt))
}
