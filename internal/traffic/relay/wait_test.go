package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// gate is a server that keeps its calls until it is opened.
type gate struct {
	opened chan struct{}
	once   sync.Once
}

func newGate(t *testing.T) *gate {
	t.Helper()
	g := &gate{opened: make(chan struct{})}
	t.Cleanup(g.open)
	return g
}

func (g *gate) open() { g.once.Do(func() { close(g.opened) }) }

// serve responds once the gate is open.
func (g *gate) serve(n int, w http.ResponseWriter, r *http.Request) {
	select {
	case <-g.opened:
		respond("done")(n, w, r)
	case <-r.Context().Done():
	}
}

// waitRoutes returns the routes with a timeout that a busy machine doesn't reach.
func waitRoutes() []catalog.Route {
	list := routes()
	for i := range list {
		list[i].Timeout = 20_000
	}
	return list
}

// newWaitingFixture returns a fixture with shared capacity whose servers have one slot each and
// one call that never ends, so that each gets two requests at most.
func newWaitingFixture(t *testing.T, routes []catalog.Route, servers ...behaviour) *fixture {
	t.Helper()
	f := newFixture(t, routes, servers...)
	for id := range f.servers {
		e, _ := f.view.Server(id)
		e.Slots = 1
		f.view = f.view.WithServer(e.Server, e.UpdatedAt)
	}
	f.relay.Balancer.SetFeatures(loadfeatures.Features{SharedCapacity: true})
	pool, _ := f.view.Catalog.Pool("text")
	occupied := make(map[string]bool)
	for range f.servers {
		choice, result := f.relay.Balancer.Choose(f.view, loadbalance.Request{
			Pool: pool, Tried: func(id string) bool { return occupied[id] }, Now: f.relay.Clock.Now(),
		})
		assert.Equal(t, result, loadbalance.Chosen)
		occupied[choice.Server.ID] = true
	}
	return f
}

// sendAsync sends n requests at once; the responses come on the channel.
func (f *fixture) sendAsync(n int, path string, headers ...string) <-chan callerResponse {
	responses := make(chan callerResponse, n)
	for i := range n {
		go func() {
			responses <- f.send(http.MethodPost, path, append([]string{headerID, fmt.Sprintf("request-%d", i)}, headers...)...)
		}()
	}
	return responses
}

// awaitWaiting waits until n requests wait in the daemon.
func (f *fixture) awaitWaiting(n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if got := f.relay.waits.pool(f.relay, "text").queue.Len(); got != n {
			return poll.Continue("%d requests wait instead of %d", got, n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestFullPoolQueues guards against a rejection, or a call to a full server, while the
// deadline allows a request to wait: all requests must be served once the servers answer.
func TestFullPoolQueues(t *testing.T) {
	g := newGate(t)
	f := newWaitingFixture(t, waitRoutes(), g.serve)
	responses := f.sendAsync(6, "/read/1")
	f.awaitWaiting(4)
	f.awaitCalls(2)
	assert.Equal(t, f.callCount(), 2)
	g.open()
	for range 6 {
		response := <-responses
		assert.Equal(t, response.status, http.StatusOK)
	}
	f.awaitWaiting(0)
}

// TestDeadlineRejectsWaiting guards against a request that waits until its caller has given
// up: it must be rejected as not run, with a time to return, before its deadline.
func TestDeadlineRejectsWaiting(t *testing.T) {
	g := newGate(t)
	f := newWaitingFixture(t, waitRoutes(), g.serve)
	responses := f.sendAsync(2, "/read/1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.callCount() < 2 {
			return poll.Continue("the servers are not full")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	startedAt := time.Now()
	response := f.send(http.MethodPost, "/read/1", headerRemaining, "400")
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(startedAt) < 400*time.Millisecond)
	assert.Assert(t, containsCode(response.body, result.RejectedForDeadline), response.body)
	seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0)
	assert.Equal(t, f.callCount(), 2)
	g.open()
	for range 2 {
		assert.Equal(t, (<-responses).status, http.StatusOK)
	}
}

// containsCode reports whether the error body states the result code.
func containsCode(body string, code result.Code) bool {
	return strings.Contains(body, strconv.Itoa(code.Number))
}
