package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
)

// setTables sets a configuration with the routes and pools.
func (f *fixture) setTables(routes []catalog.Route, pools ...string) {
	tables := catalog.Tables{Version: 2, Routes: routes, RequireKey: true, Accounts: map[string]catalog.ClientAccount{"key-1": {Name: "smiths"}}}
	for _, name := range pools {
		tables.Pools = append(tables.Pools, catalog.Pool{Name: name, TokenMemory: 100_000, TokensPerEvent: 8})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = f.view.WithCatalog(catalog.New(tables))
}

// TestGivenUpStreamOutlivesPlannedWork guards against a stream that is cut because the relay gave up
// its silent server for one that refuses, and a configuration of that moment or a lack of servers for some
// seconds keeps others from going on.
func TestGivenUpStreamOutlivesPlannedWork(t *testing.T) {
	changed := func(change func(*catalog.Route)) func(*fixture) {
		return func(f *fixture) {
			list := append([]catalog.Route(nil), f.routes...)
			change(&list[0])
			f.setTables(list, "text", "other")
		}
	}
	move := changed(func(r *catalog.Route) { r.Pools = []catalog.WeightedPool{{Pool: "other", Weight: 1}} })
	cases := map[string]struct {
		onRefusal func(*fixture)
		elsewhere behaviour // of the server of the other pool
	}{
		"fewer attempts":                     {changed(func(r *catalog.Route) { r.MaxAttempts = 1 }), nil},
		"no longer resumable":                {changed(func(r *catalog.Route) { r.RetryPolicy = catalog.AtMostOnce }), nil},
		"shorter time-out":                   {changed(func(r *catalog.Route) { r.Timeout = 500 }), nil},
		"route moved, server error":          {move, respondStatus(http.StatusInternalServerError)},
		"route moved, not found":             {move, respondStatus(http.StatusNotFound)},
		"route moved to a pool that is full": {move, respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "yes")},
		"pool removed, route moved": {func(f *fixture) {
			list := append([]catalog.Route(nil), f.routes...)
			list[0].Pools = []catalog.WeightedPool{{Pool: "other", Weight: 1}}
			f.setTables(list, "other")
		}, respondStatus(http.StatusNotFound)},
		"pool and route removed": {func(f *fixture) { f.setTables(nil, "other") }, nil},
		"no server for 3 s": {func(f *fixture) {
			e, _ := f.currentView().Server("s2")
			f.mu.Lock()
			defer f.mu.Unlock()
			f.view = f.view.WithoutServer("s2")
			time.AfterFunc(3*time.Second, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.view = f.view.WithServer(e.Server, 0)
			})
		}, nil},
		"no retry budget for 3 s": {func(f *fixture) {
			f.relay.RetryBudget.SetLimits(0, 0)
			time.AfterFunc(3*time.Second, func() { f.relay.RetryBudget.SetLimits(10, 100) })
		}, nil},
		"pause of 4 s": {func(f *fixture) {
			e, _ := f.currentView().Server("s2")
			f.relay.Balancer.RecordAnnouncement(&e, loadbalance.Announcement{Pause: 4_000}, f.relay.Clock.Now())
		}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *fixture
			silent := func(n int, w http.ResponseWriter, r *http.Request) {
				sendEvents(2, 2)(n, w, r)
				f.mu.Lock()
				f.view = f.view.WithoutServer("s1")
				f.mu.Unlock()
				hang(n, w, r)
			}
			elsewhere := c.elsewhere
			if elsewhere == nil {
				elsewhere = hang
			}
			list := streamRoutes()
			list[0].Timeout = 12_000
			f = newFixture(t, list, silent, func(n int, w http.ResponseWriter, r *http.Request) {
				if n > 1 {
					sendEvents(5, 5)(n, w, r)
					return
				}
				c.onRefusal(f)
				respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "yes")(n, w, r)
			}, elsewhere)
			second, _ := f.view.Server("s2")
			third, _ := f.view.Server("s3")
			other := third.Server
			other.Pool = "other"
			f.view = f.view.WithoutServer("s2").WithoutServer("s3").WithServer(other, f.relay.Clock.Now())
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

// TestStreamsOutliveSettings guards against a stream that breaks off because the settings signal
// switches what is counted for requests on or off meanwhile.
func TestStreamsOutliveSettings(t *testing.T) {
	all, none := loadfeatures.Features{SharedCapacity: true, UnevenServers: loadfeatures.On}, loadfeatures.Features{}
	cases := map[string][2]loadfeatures.Features{"on": {none, all}, "off": {all, none}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *fixture
			set := func(features loadfeatures.Features) {
				f.relay.Balancer.SetFeatures(features)
				f.relay.SetFeatures(features)
			}
			server := func(n int, w http.ResponseWriter, r *http.Request) {
				sendEvents(2, 2)(n, w, r)
				if n == 1 {
					set(c[1])
				}
				time.Sleep(streamPause / 10)
				_, _ = w.Write([]byte(events(3, 5)))
			}
			f = newFixture(t, streamRoutes(), server, server)
			set(c[0])
			for range 4 {
				got := f.send(http.MethodPost, "/draft/1", headerModel, "large", headerPrompt, "shared,own", headerLengthHint, "80")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, events(1, 5))
			}
		})
	}
}

// TestWaitingRequestsOutliveSettings guards against a request that waits for ever, or is dropped, because
// the settings signal switches the queue off that it waits in.
func TestWaitingRequestsOutliveSettings(t *testing.T) {
	g := newGate(t)
	f := newWaitingFixture(t, waitRoutes(), g.serve)
	responses := f.sendAsync(5, "/read/1")
	f.awaitWaiting(3)
	f.relay.Balancer.SetFeatures(loadfeatures.Features{})
	f.relay.SetFeatures(loadfeatures.Features{})
	g.open()
	for range 5 {
		response := <-responses
		assert.NilError(t, response.err)
		assert.Equal(t, response.status, http.StatusOK, response.body)
	}
}
