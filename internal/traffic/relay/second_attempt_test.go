package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// maxOverlap is the longest time for which a request may run twice.
const maxOverlap = 400 * time.Millisecond

// overlap measures for how long a request ran at its former server after it was sent to the
// next one.
type overlap struct {
	mu            sync.Mutex
	ended, begins time.Time
}

func (o *overlap) set(at *time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*at = time.Now()
}

// within waits for the end of the former run and reports whether it was soon enough.
func (o *overlap) within(longest time.Duration) bool {
	for range 100 {
		o.mu.Lock()
		ended, begins := o.ended, o.begins
		o.mu.Unlock()
		if !ended.IsZero() && !begins.IsZero() {
			return ended.Sub(begins) <= longest
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// firstHangs has the first call of any server wait until its caller disconnects, or for the
// time, before it responds. Later calls are answered at once.
func firstHangs(o *overlap, longest time.Duration, during func(server string)) behaviour {
	var mu sync.Mutex
	hung := false
	return func(n int, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		first := !hung
		hung = true
		mu.Unlock()
		if !first {
			o.set(&o.begins)
			sendEvents(5, 5)(n, w, r)
			return
		}
		if during != nil {
			during(w.Header().Get(headerServer))
		}
		select {
		case <-r.Context().Done():
			o.set(&o.ended)
		case <-time.After(longest):
			sendEvents(5, 5)(n, w, r)
		}
	}
}

// setLoads has the other daemons report the loads.
func (f *fixture) setLoads(load func(server string) loadbalance.Load) {
	loads := make(map[string]loadbalance.Load)
	for id := range f.servers {
		loads[id] = load(id)
	}
	f.relay.Balancer.SetPeerLoads(loads, f.relay.Clock.Now())
}

// keepReporting has the other daemons report the load of all servers until the test ends.
func (f *fixture) keepReporting(load loadbalance.Load) {
	go func() {
		for f.t.Context().Err() == nil {
			f.setLoads(func(string) loadbalance.Load { return load })
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// TestSecondAttemptUnderLoad has a server stall. A second attempt must be made where another
// server is expected to begin sooner, and none because the whole pool is full, on a route that
// runs at most once, or without the retry budget's reserve.
func TestSecondAttemptUnderLoad(t *testing.T) {
	busy := func(f *fixture, slow string) {
		f.setLoads(func(server string) loadbalance.Load {
			if server == slow {
				return loadbalance.Load{Calls: 8, Prefill: 4_000}
			}
			return loadbalance.Load{}
		})
	}
	cases := map[string]struct {
		path  string
		setup func(f *fixture)
		// during is called with the server that stalls.
		during  func(f *fixture, server string)
		target  clock.Millis  // for the first byte; 0 for the route's
		longest time.Duration // of the stall
		calls   int
		within  time.Duration // the complete response
	}{
		"the pool is full": {"/draft/1", func(f *fixture) { f.underLoad(10) }, func(f *fixture, _ string) {
			f.keepReporting(loadbalance.Load{Calls: 10})
		}, 0, 3 * time.Second, 1, 4 * time.Second},
		"lost":            {"/draft/1", func(f *fixture) { f.underLoad(0) }, nil, 0, 9 * time.Second, 2, 3 * time.Second},
		"has slowed down": {"/draft/1", func(f *fixture) { f.underLoad(0) }, busy, 0, 9 * time.Second, 2, 1_500 * time.Millisecond},
		"at most once":    {"/once/1", func(f *fixture) { f.underLoad(0) }, busy, 0, 2 * time.Second, 1, 4 * time.Second},
		"has slowed down, reserve only": {"/draft/1", func(f *fixture) {
			f.underLoad(0)
			f.relay.RetryBudget = admission.NewSharedRetryBudget(0, 1.1, 10_000)
		}, busy, 0, 1_600 * time.Millisecond, 1, 3 * time.Second},
		"has slowed down in a full pool": {"/draft/1", func(f *fixture) { f.underLoad(8) }, func(f *fixture, slow string) {
			f.setLoads(func(server string) loadbalance.Load {
				if server == slow {
					return loadbalance.Load{Calls: 7, Prefill: 2_500}
				}
				return loadbalance.Load{Calls: 7}
			})
		}, 2_000, 1_600 * time.Millisecond, 1, 3 * time.Second},
		"no feature": {"/draft/1", func(f *fixture) { f.underLoad(10); f.relay.Balancer.SetFeatures(loadfeatures.Features{}) }, nil, 0, 9 * time.Second, 2, 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *fixture
			var o overlap
			during := func(server string) {
				if c.during != nil {
					c.during(f, server)
				}
			}
			server := firstHangs(&o, c.longest, during)
			table := streamRoutes()
			table[0].LatencyTarget = max(table[0].LatencyTarget, c.target)
			f = newFixture(t, table, server, server)
			c.setup(f)
			start := time.Now()
			got := f.send(http.MethodPost, c.path, headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
			assert.Equal(t, f.callCount(), c.calls)
			assert.Check(t, time.Since(start) < c.within, "%v", time.Since(start))
			assert.Check(t, c.calls == 1 || o.within(maxOverlap), "two runs at a time")
		})
	}
}

// TestSmallAnswerInTime has the largest model's servers stall after a small answer was
// discarded for it. The caller must get the small model's answer before the deadline: a
// short one that was kept, or a long one that the small model gives again.
func TestSmallAnswerInTime(t *testing.T) {
	for name, c := range map[string]struct {
		lengthHint string
		calls      int
	}{
		"short": {"0", 2},
		"long":  {"16", 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := byModel(map[string]behaviour{"small": withConfidence("20", sendEvents(5, 5)), "large": hang})
			f := newFixture(t, streamRoutes(), server, server, server)
			f.underLoad(0)
			got := f.send(http.MethodPost, "/draft/1", headerModel, "*", headerLengthHint, c.lengthHint)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
			assert.Equal(t, f.callCount(), c.calls)
		})
	}
}

// recordInterEvent has the time between two events of the largest model, in ms, become the pool's usual one.
func (f *fixture) recordInterEvent(ms float64) {
	server, _ := f.currentView().Server("s1")
	for range 100 {
		f.relay.Balancer.RecordInterEvent(&server, "large", ms, f.relay.Clock.Now())
	}
}

// TestStreamBehindItsDeadline has a server send its events too slowly for the deadline. The
// stream must go on at another server, once, where that one is expected to end it in time.
func TestStreamBehindItsDeadline(t *testing.T) {
	const pause = 150 * time.Millisecond
	cases := map[string]struct {
		features   loadfeatures.Features
		interEvent float64 // ms, of the pool's servers
		calls      int
		complete   bool
		allSlow    bool // also the server that goes on with the stream
	}{
		"another server is faster": {loadfeatures.Features{SharedCapacity: true}, 10, 2, true, false},
		"uneven servers":           {loadfeatures.Features{UnevenServers: loadfeatures.On}, 10, 2, true, false},
		"moved once":               {loadfeatures.Features{SharedCapacity: true}, 10, 2, false, true},
		"all are as slow":          {loadfeatures.Features{SharedCapacity: true}, 150, 1, false, false},
		"as before":                {loadfeatures.Features{}, 10, 1, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var o overlap
			var f *fixture
			total, table := 50, streamRoutes()
			if c.allSlow {
				// Time for a second move.
				total, table[0].Timeout = 100, 12_000
			}
			server := func(n int, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerLastEventID) != "" {
					o.set(&o.begins)
					f.recordInterEvent(c.interEvent)
				}
				if (r.Header.Get(headerLastEventID) != "" && !c.allSlow) || r.Header.Get(headerID) == warmUpID {
					sendEvents(total, total)(n, w, r)
					return
				}
				w.Header().Set(headerSigned, "yes")
				after, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
				for i := after + 1; i <= total && r.Context().Err() == nil; i++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", i, i)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				}
				if after == 0 {
					o.set(&o.ended)
				}
			}
			f = newFixture(t, table, server, server, server)
			f.relay.Balancer.SetFeatures(c.features)
			for range warmUp {
				f.send(http.MethodPost, "/draft/1", headerID, warmUpID, headerModel, "large")
			}
			f.recordInterEvent(c.interEvent)
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large", headerLengthHint, fmt.Sprint(total*8))
			assert.Equal(t, got.err == nil && got.body == events(1, total), c.complete, "%v", got.err)
			assert.Equal(t, f.callCount()-warmUp, c.calls)
			assert.Check(t, c.calls == 1 || o.within(maxOverlap), "two runs at a time")
		})
	}
}
