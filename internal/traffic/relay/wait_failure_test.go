package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// jumpingClock is a clock that a test moves forward, as a daemon sees it that was frozen.
type jumpingClock struct {
	clock.Clock
	offset atomic.Int64
}

func (c *jumpingClock) Now() clock.Millis { return c.Clock.Now() + clock.Millis(c.offset.Load()) }

// awaitCalls waits until n calls have reached the servers.
func (f *fixture) awaitCalls(n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if got := f.callCount(); got < n {
			return poll.Continue("%d calls instead of %d", got, n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// receive returns the next response, and fails the test if none comes in time.
func (f *fixture) receive(responses <-chan callerResponse) callerResponse {
	f.t.Helper()
	select {
	case r := <-responses:
		return r
	case <-time.After(8 * time.Second):
		f.t.Fatal("no response")
		return callerResponse{}
	}
}

// TestServerLostWhileWaiting guards against requests that wait for a server that has gone:
// those that wait must go to the server that is left.
func TestServerLostWhileWaiting(t *testing.T) {
	lost, left := newGate(t), newGate(t)
	f := newWaitingFixture(t, waitRoutes(), lost.serve, left.serve)
	responses := f.sendAsync(7, "/read/1")
	f.awaitWaiting(3)
	assert.NilError(t, f.servers["s1"].Listener.Close())
	f.servers["s1"].CloseClientConnections()
	f.mu.Lock()
	f.view = f.view.WithoutServer("s1")
	f.mu.Unlock()
	left.open()
	for range 7 {
		assert.Equal(t, f.receive(responses).status, http.StatusOK)
	}
	f.awaitWaiting(0)
}

// TestCallerGoneWhileWaiting guards against requests that are sent to a server although their
// callers have gone, and against a queue that keeps them.
func TestCallerGoneWhileWaiting(t *testing.T) {
	g := newGate(t)
	f := newWaitingFixture(t, waitRoutes(), g.serve)
	responses := f.sendAsync(2, "/read/1")
	f.awaitCalls(2)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	for range 3 {
		go func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/read/1", nil)
			if err == nil {
				request.Header.Set(headerID, "gone")
				request.Header.Set("X-Key", "key-1")
				if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
					_ = response.Body.Close()
				}
			}
			gone <- struct{}{}
		}()
	}
	f.awaitWaiting(3)
	cancel()
	for range 3 {
		<-gone
	}
	f.awaitWaiting(0)
	g.open()
	for range 2 {
		assert.Equal(t, f.receive(responses).status, http.StatusOK)
	}
	assert.Equal(t, f.callCount(), 2)
}

// TestWaitEnds guards against requests that wait on although they can't be served: their
// callers must learn at once that they have not run.
func TestWaitEnds(t *testing.T) {
	cases := map[string]struct {
		during func(f *fixture, c *jumpingClock)
		status int
		code   result.Code
	}{
		"daemon drains": {
			func(f *fixture, _ *jumpingClock) { f.relay.BeginShutdown(500*time.Millisecond, 0) }, http.StatusServiceUnavailable, result.Stopping,
		},
		"daemon rejects": {
			func(f *fixture, _ *jumpingClock) { f.relay.RejectRequests() }, http.StatusServiceUnavailable, result.Stopping,
		},
		"daemon was frozen": {
			func(_ *fixture, c *jumpingClock) { c.offset.Store(60_000) }, http.StatusServiceUnavailable, result.RejectedForDeadline,
		},
		"key revoked": {
			func(f *fixture, _ *jumpingClock) { f.setKeys(2, f.routes, map[string]catalog.ClientAccount{}) }, http.StatusUnauthorized, result.UnknownCredential,
		},
		"route removed": {
			func(f *fixture, _ *jumpingClock) { f.setCatalog(2, nil) }, http.StatusNotFound, result.NoRoute,
		},
		"pool removed": {
			func(f *fixture, _ *jumpingClock) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.view = f.view.WithCatalog(catalog.New(catalog.Tables{
					Version: 2, Routes: f.routes, Accounts: map[string]catalog.ClientAccount{"key-1": {Name: "smiths"}}, RequireKey: true,
				}))
			}, http.StatusServiceUnavailable, result.NoServer,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGate(t)
			f := newWaitingFixture(t, waitRoutes(), g.serve)
			jumping := &jumpingClock{Clock: f.relay.Clock}
			f.relay.Clock = jumping
			running := f.sendAsync(2, "/read/1")
			f.awaitCalls(2)
			waiting := f.sendAsync(3, "/read/1")
			f.awaitWaiting(3)
			startedAt := time.Now()
			c.during(f, jumping)
			for range 3 {
				response := f.receive(waiting)
				assert.Equal(t, response.status, c.status, response.body)
				assert.Assert(t, containsCode(response.body, c.code), response.body)
			}
			assert.Assert(t, time.Since(startedAt) < 2*time.Second)
			assert.Equal(t, f.callCount(), 2)
			g.open()
			for range 2 {
				f.receive(running)
			}
		})
	}
}

// TestUrgentRequestGoesFirst guards against a queue that serves a less urgent request first.
func TestUrgentRequestGoesFirst(t *testing.T) {
	urgent := waitRoutes()[0]
	later := urgent
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
	later.Name, later.Prefix, later.Priority = "later", "/later/", 5
	turn := make(chan struct{})
	f := newWaitingFixture(t, []catalog.Route{urgent, later}, func(n int, w http.ResponseWriter, r *http.Request) {
		select {
		case <-turn:
			respond("done")(n, w, r)
		case <-r.Context().Done():
		}
	})
	first := f.sendAsync(2, "/later/1")
	f.awaitCalls(2)
	laterResponses := f.sendAsync(1, "/later/2", headerID, "later")
	f.awaitWaiting(1)
	urgentResponses := f.sendAsync(1, "/urgent/1", headerID, "urgent")
	f.awaitWaiting(2)
	turn <- struct{}{}
	f.awaitCalls(3)
	f.mu.Lock()
	third := f.calls[2].header.Get(headerID)
	f.mu.Unlock()
	close(turn)
	for _, responses := range []<-chan callerResponse{first, first, laterResponses, urgentResponses} {
		assert.Equal(t, f.receive(responses).status, http.StatusOK)
	}
	assert.Equal(t, third, "urgent")
}
