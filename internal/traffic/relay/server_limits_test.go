package relay

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// limiting adds a rate limit to all responses of the server.
func limiting(perSecond string, b behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerLimit, perSecond)
		b(n, w, r)
	}
}

// shareLimits makes this daemon the only one that shares the servers' limits.
func (f *fixture) shareLimits() {
	f.relay.Balancer.SetLimitPeers(loadbalance.LimitPeers{}, []string{"h1"}, "h1", f.relay.Clock.Now())
}

// TestLimitedServerGetsItsRate has the only server state a limit in a response of any kind.
// Requests that follow at once must be rejected, with a time that fits the rate.
func TestLimitedServerGetsItsRate(t *testing.T) {
	cases := map[string]struct {
		path, model string
		response    behaviour
	}{
		"served":              {"/read/1", "", respond("ledger")},
		"server error":        {"/read/1", "", respondStatus(500)},
		"refusal":             {"/post/1", "", respondStatus(503, headerNotExecuted, "1")},
		"unverified response": {"/read/1", "", respondStatus(200)},
		"stream":              {"/draft/1", "large", sendEvents(5, 5)},
		"interrupted stream":  {"/once/1", "large", sendEvents(2, 5)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, append(routes(), streamRoutes()...), limiting("0.5", c.response))
			f.shareLimits()
			f.send(http.MethodPost, c.path, headerModel, c.model)
			calls := f.callCount()
			for i := range 5 {
				sentAt := time.Now()
				got := f.send(http.MethodPost, "/read/1", headerID, strconv.Itoa(i))
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Equal(t, got.header.Get(result.HeaderCode), strconv.Itoa(result.RateLimited.Number))
				assert.Assert(t, time.Since(sentAt) < 300*time.Millisecond)
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				// Callers return 2 s after each other. The first one may have been rejected, too.
				assert.Assert(t, seconds > 0 && seconds <= 1.25*2*float64(i+2), "%v s for request %d", seconds, i)
			}
			assert.Equal(t, f.callCount(), calls)
		})
	}
}

// TestRepeatsCountTowardsLimit has a limited server fail. Its requests must be repeated
// elsewhere, and not at the server once its rate is used up.
func TestRepeatsCountTowardsLimit(t *testing.T) {
	f := newFixture(t, routes(), limiting("1", respondStatus(500)), respond("other"))
	f.shareLimits()
	for i := range 20 {
		got := f.send(http.MethodPost, "/read/1", headerID, strconv.Itoa(i))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "other")
	}
	assert.Assert(t, f.callsTo("s1") <= 2, "%d", f.callsTo("s1"))
}

// TestEscalationsCountTowardsLimit has both servers limited while small models answer with
// low confidence. An escalation for which no rate is left must not be made.
func TestEscalationsCountTowardsLimit(t *testing.T) {
	b := limiting("0.1", byModel(map[string]behaviour{"small": withConfidence("20", sendEvents(5, 5)), "large": sendEvents(5, 5)}))
	f := newFixture(t, streamRoutes(), b)
	f.shareLimits()
	got := f.send(http.MethodPost, "/draft/1", headerModel, "*")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, f.callCount(), 1)
}

// TestPlannedAttemptTakesTokenWhenSent has a server state a limit after an attempt there was
// planned without a token.
func TestPlannedAttemptTakesTokenWhenSent(t *testing.T) {
	f := newFixture(t, routes(), respond("first"), respond("second"))
	f.shareLimits()
	ex, now := f.planAhead()
	server := ex.successor.choice.Server
	f.relay.Balancer.RecordLimit(&server, loadbalance.Limit{Kind: loadbalance.ValidLimit, PerSecond: 0.5}, now, now)
	ex.state = stateWait
	assert.NilError(t, ex.serve())
	assert.Equal(t, ex.attempts, 1)
	assert.Equal(t, f.callsTo(server.ID), 0)
}

// lender lends a number of tokens.
type lender struct {
	relay  *Relay
	tokens int
}

func (l *lender) Borrow(_ context.Context, e *fleet.Entry) bool {
	if l.tokens == 0 {
		return false
	}
	l.tokens--
	l.relay.Balancer.ReceiveToken(e.ID, l.relay.Clock.Now())
	return true
}

// TestTokensAreBorrowed checks that requests are served with tokens of other daemons.
func TestTokensAreBorrowed(t *testing.T) {
	f := newFixture(t, routes(), limiting("0.1", respond("ledger")))
	f.shareLimits()
	f.relay.TokenLender = &lender{relay: f.relay, tokens: 2}
	var statuses []int
	for i := range 4 {
		statuses = append(statuses, f.send(http.MethodPost, "/read/1", headerID, strconv.Itoa(i)).status)
	}
	assert.DeepEqual(t, statuses, []int{200, 200, 200, 503})
}

// canaryRouter sends all requests to the version v2, and to v1 if they may overflow.
type canaryRouter struct {
	AnyVersionRouter
	overflows bool
}

func (canaryRouter) AllowedVersions(*fleet.View, string, string, *Request, bool) func(string) bool {
	return func(version string) bool { return version == "v2" }
}

func (c canaryRouter) OverflowVersions(*fleet.View, string, *Request) func(string) bool {
	if !c.overflows {
		return nil
	}
	return func(version string) bool { return version == "v1" }
}

// TestLimitedCanaryOverflows has the only server of a canary limited. What it can't take must
// go to the servers of the other version, unless the request must keep its version.
func TestLimitedCanaryOverflows(t *testing.T) {
	for name, overflows := range map[string]bool{"may change its version": true, "keeps its version": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, routes(), respond("old"), limiting("0.1", respond("canary")))
			f.shareLimits()
			f.relay.VersionRouter = canaryRouter{overflows: overflows}
			for id, version := range map[string]string{"s1": "v1", "s2": "v2"} {
				entry, _ := f.currentView().Server(id)
				entry.Version = version
				f.setView(func(v *fleet.View) *fleet.View { return v.WithServer(entry.Server, 0) })
			}
			assert.Equal(t, f.send(http.MethodPost, "/read/1").body, "canary")
			got := f.send(http.MethodPost, "/read/1")
			assert.Equal(t, got.body == "old", overflows)
			assert.Equal(t, got.status == http.StatusOK, overflows)
			assert.Equal(t, f.callsTo("s2"), 1)
		})
	}
}
