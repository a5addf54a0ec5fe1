package relay

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
)

// TestRetryFollowsNewPolicy has the configuration make a route at-most-once, or allow
// one attempt only, while an attempt runs that then fails.
func TestRetryFollowsNewPolicy(t *testing.T) {
	cases := map[string]func(*catalog.Route){
		"at most once": func(r *catalog.Route) { r.RetryPolicy = catalog.AtMostOnce },
		"one attempt":  func(r *catalog.Route) { r.MaxAttempts = 1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			server := func(n int, w http.ResponseWriter, r *http.Request) {
				changed := routes()
				change(&changed[0])
				f.setCatalog(2, changed)
				closeConn(n, w, r)
			}
			f = newFixture(t, routes(), server, server)
			f.send(http.MethodPost, "/read/1")
			assert.Equal(t, f.callCount(), 1)
		})
	}
}

// TestOneServerDoesNotUseWholeBudget has the only server of a pool break off every answer. A request
// may not be sent to it again until the retry budget of all requests is gone.
func TestOneServerDoesNotUseWholeBudget(t *testing.T) {
	cases := map[string]struct {
		path   string
		table  []catalog.Route
		server behaviour
	}{
		"plain, connection closed": {"/read/1", routes(), closeConn},
		"plain, server error":      {"/read/1", routes(), respondStatus(http.StatusInternalServerError)},
		"stream, breaks off":       {"/draft/1", streamRoutes(), sendEvents(2, 5)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.table, c.server)
			f.send(http.MethodPost, c.path, headerModel, "large")
			assert.Check(t, f.callCount() <= 4, "%d calls", f.callCount())
			assert.Check(t, f.retriesLeft() > 80, "the budget of all requests is gone")
		})
	}
}

// TestPromiseNeedsStatement has a server answer with the statuses from which callers conclude
// that a request has not run. Without the server's statement, none may reach them: the
// request may have run.
func TestPromiseNeedsStatement(t *testing.T) {
	table := append(routes(), streamRoutes()...)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/post/1", "/read/1", "/once/1", "/draft/1"} {
			for _, isStated := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d, %s, stated %v", status, path, isStated), func(t *testing.T) {
					server := func(_ int, w http.ResponseWriter, _ *http.Request) {
						w.Header().Set(headerSigned, "yes")
						if isStated {
							w.Header().Set(headerNotExecuted, "yes")
						}
						w.WriteHeader(status)
					}
					f := newFixture(t, table, server, server)
					got := f.send(http.MethodPost, path, headerModel, "large")
					assert.NilError(t, got.err)
					assert.Equal(t, impliesNotExecuted(got.status), isStated, "status %d", got.status)
				})
			}
		}
	}
}
