package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
)

// underLoad switches the rules for pools whose load counts on, and has all servers of the
// fixture report that many requests of other daemons in their 8 slots.
func (f *fixture) underLoad(requests int) {
	f.relay.Balancer.SetFeatures(loadfeatures.Features{SharedCapacity: true})
	view, now := f.currentView(), f.relay.Clock.Now()
	f.relay.Balancer.Utilisation(view, "text", nil, now-10_000) // registers the servers
	loads := make(map[string]loadbalance.Load)
	for id := range f.servers {
		loads[id] = loadbalance.Load{Calls: requests}
	}
	f.relay.Balancer.SetPeerLoads(loads, now)
}

// TestStartsWithLargestModel guards against a small model's run whose answer is nearly always
// discarded, and against starting with the largest model where that costs more, where room is
// scarce or where the costs are unknown.
func TestStartsWithLargestModel(t *testing.T) {
	costs := []catalog.Model{{Name: "small", CostPer1000Tokens: 1}, {Name: "large", CostPer1000Tokens: 10}}
	cases := map[string]struct {
		models   []catalog.Model
		low      int // of 100 small answers before
		requests int // of other daemons, in 8 slots
		calls    int
	}{
		"always discarded": {costs, 100, 0, 1},
		"half of them":     {costs, 50, 0, 2},
		"costs unknown":    {nil, 100, 0, 2},
		"half full":        {costs, 100, 4, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			large := withConfidence("90", sendEvents(5, 5))
			server := byModel(map[string]behaviour{"small": withConfidence("20", sendEvents(2, 2)), "large": large, "": large})
			f := newFixture(t, streamRoutes(), server, server, server)
			f.setView(func(v *fleet.View) *fleet.View {
				return v.WithCatalog(catalog.New(catalog.Tables{
					Version: 2, Routes: f.routes, RequireKey: true, Accounts: map[string]catalog.ClientAccount{"key-1": {Name: "smiths"}},
					Pools: []catalog.Pool{{Name: "text", TokenMemory: 100_000, TokensPerEvent: 8, Models: c.models}},
				}))
			})
			f.underLoad(c.requests)
			for range warmUp {
				f.send(http.MethodPost, "/draft/1", headerID, warmUpID, headerModel, "large")
			}
			for i := range 100 {
				f.relay.escalationRates.Record("draft", 200, i < c.low, f.relay.Clock.Now())
			}
			got := f.send(http.MethodPost, "/draft/1", headerModel, "*", headerPrompt, "shared,own", headerLengthHint, "8")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
			assert.Equal(t, f.callCount()-warmUp, c.calls)
		})
	}
}

// TestRejectingServerGetsLess has one of two servers reject all work while the other daemons
// report it as free. Until it reports its own load, it must not be tried again and again.
func TestRejectingServerGetsLess(t *testing.T) {
	server := func(n int, w http.ResponseWriter, r *http.Request) {
		if w.Header().Get(headerServer) == "s1" {
			respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "yes")(n, w, r)
			return
		}
		sendEvents(5, 5)(n, w, r)
	}
	f := newFixture(t, streamRoutes(), server, server)
	f.underLoad(0)
	f.keepReporting(loadbalance.Load{})
	for i := range 30 {
		assert.Equal(t, f.send(http.MethodPost, "/draft/1", headerModel, "large", headerID, fmt.Sprint(i)).body, events(1, 5))
		time.Sleep(40 * time.Millisecond)
	}
	assert.Check(t, f.callsTo("s1") <= 1, "%d calls", f.callsTo("s1"))
}

// TestCascadeFollowsRoom guards against spending the room of a full pool on escalations, and
// against keeping poor answers of a small model while there is room, or without the feature.
func TestCascadeFollowsRoom(t *testing.T) {
	const small, large = "id: 1\ndata: small\n\n", "id: 1\ndata: large\n\n"
	cases := map[string]struct {
		setup      func(*fixture)
		confidence string // of the small model's answer; the threshold of a calm pool is 58
		want       string
	}{
		"room":                         {func(f *fixture) { f.underLoad(0) }, "20", large},
		"full":                         {func(f *fixture) { f.underLoad(8) }, "20", small},
		"nearly full, doubtful answer": {func(f *fixture) { f.underLoad(7) }, "40", small},
		"nearly full, poor answer":     {func(f *fixture) { f.underLoad(7) }, "5", large},
		"full since a moment": {func(f *fixture) {
			f.underLoad(0)
			f.relay.Balancer.Utilisation(f.currentView(), "text", nil, f.relay.Clock.Now())
			f.setLoads(func(string) loadbalance.Load { return loadbalance.Load{Calls: 8} })
		}, "20", small},
		"nothing known":   {func(f *fixture) { f.relay.Balancer.SetFeatures(loadfeatures.Features{SharedCapacity: true}) }, "20", large},
		"without feature": {func(f *fixture) { f.underLoad(8); f.relay.Balancer.SetFeatures(loadfeatures.Features{}) }, "20", large},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := byModel(map[string]behaviour{"small": withConfidence(c.confidence, respond(small)), "large": withConfidence("90", respond(large))})
			f := newFixture(t, streamRoutes(), server, server, server)
			c.setup(f)
			got := f.send(http.MethodPost, "/draft/1", headerModel, "*")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, c.want)
		})
	}
}
