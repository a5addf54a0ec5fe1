package peerfeed

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/follower"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// storeLatency is the time that a call to the store takes in each direction.
const storeLatency = 30 * clock.Millis(1)

// distantStore is one daemon's access to a memoryStore over a network. It counts the
// daemon's calls.
type distantStore struct {
	*daemonStore
}

func (s *distantStore) Changes(ctx context.Context, table string, after rowstore.Position, wait clock.Millis) (rowstore.Page, error) {
	clock.Sleep(ctx, storeLatency)
	page, err := s.daemonStore.Changes(ctx, table, after, wait)
	clock.Sleep(ctx, storeLatency)
	if ctx.Err() != nil {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return page, err
}

// peerFault is what happens to calls to a daemon.
type peerFault int32

const (
	noFault peerFault = iota
	// frozen daemons answer nothing.
	frozen
	// delayed daemons answer, but the responses arrive late.
	delayed
)

// responseDelay is the delay of responses of delayed daemons.
const responseDelay = 900 * clock.Millis(1)

// virtualDaemon is one daemon of a data centre in virtual time.
type virtualDaemon struct {
	store *Store
	calls *daemonStore
	sink  *contentsSink
	fault atomic.Int32 // a peerFault
}

// startDataCentre starts the number of daemons, the first of which are the leaders.
func startDataCentre(ctx context.Context, memory *memoryStore, daemons, leaders int, apply clock.Millis) []*virtualDaemon {
	dataCentre, addresses := make([]*virtualDaemon, daemons), make([]string, leaders)
	for i := range leaders {
		addresses[i] = fmt.Sprint(i)
	}
	byAddress := make(map[string]*virtualDaemon)
	for i := range daemons {
		d := &virtualDaemon{calls: &daemonStore{memoryStore: memory}, sink: &contentsSink{}}
		d.store = New(Config{
			Log: hclog.NewNullLogger(), Clock: clock.NewSystem(), RowStore: &distantStore{d.calls}, ApplyTimeout: apply, Recovery: recovery,
			SelfAddress: fmt.Sprint(i), Leaders: func() []string { return addresses },
		})
		d.store.callPeer = func(ctx context.Context, address string, request ChangesRequest) (ChangesResponse, error) {
			called := byAddress[address]
			response := called.store.serveChanges(ctx, request)
			switch peerFault(called.fault.Load()) {
			case noFault:
			case frozen:
				<-ctx.Done()
			case delayed:
				clock.Sleep(ctx, responseDelay)
			}
			return response, ctx.Err()
		}
		dataCentre[i] = d
		byAddress[d.store.SelfAddress] = d
	}
	for _, d := range dataCentre {
		batchDelay := clock.Millis(0.35 * float64(apply)) // as for the table of servers
		go follower.New(hclog.NewNullLogger(), d.store, d.sink, "t", batchDelay, 2_250).Run(ctx)
		time.Sleep(300 * time.Microsecond) // the clocks of daemons don't tick at once
	}
	return dataCentre
}

// waitUntilHeld returns how long it took until the daemon held the value, at most the limit.
func (d *virtualDaemon) waitUntilHeld(value string, limit clock.Millis) clock.Millis {
	start := time.Now()
	for time.Since(start) < limit.Duration() && !d.sink.holds(map[string]string{"a": value}) {
		time.Sleep(time.Millisecond)
	}
	return clock.Millis(time.Since(start).Milliseconds())
}

// TestChangesInForceBesideUnresponsiveLeaders makes all or some leaders of a data centre
// unresponsive at a moment of their poll, and changes the table at the same time or later. The
// other daemons must hold the change within the apply timeout. Guards against the time-outs of
// several leaders adding up before a follower calls the store.
func TestChangesInForceBesideUnresponsiveLeaders(t *testing.T) {
	type fault struct {
		daemons, leaders, failing int
		apply                     clock.Millis
		kind                      peerFault
		cutBefore                 clock.Millis // how long before that the failing leaders lost the store
	}
	cases := make(map[string]fault)
	for _, apply := range []clock.Millis{2_000, 3_000} {
		for _, daemons := range []int{4, 15} {
			for leaders := 1; leaders <= 3; leaders++ {
				for failing := 1; failing <= leaders; failing++ {
					name := fmt.Sprintf("%d of %d leaders, %d daemons, %d ms", failing, leaders, daemons, apply)
					cases[name+", frozen"] = fault{daemons, leaders, failing, apply, frozen, 0}
					cases[name+", delayed"] = fault{daemons, leaders, failing, apply, delayed, 0}
					cases[name+", cut off"] = fault{daemons, leaders, failing, apply, noFault, apply / 2}
					cases[name+", cut off, then frozen"] = fault{daemons, leaders, failing, apply, frozen, apply / 2}
				}
			}
		}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for phase := clock.Millis(0); phase < c.apply; phase += 170 {
				for _, changeAfter := range []clock.Millis{0, 400, 1_100} {
					synctest.Test(t, func(t *testing.T) {
						memory := newMemoryStore()
						memory.put("a", "1")
						dataCentre := startDataCentre(t.Context(), memory, c.daemons, c.leaders, c.apply)
						time.Sleep((4_000 + phase - c.cutBefore).Duration())
						for _, d := range dataCentre[:c.failing] {
							d.calls.setUnavailable(c.cutBefore > 0)
						}
						time.Sleep(c.cutBefore.Duration())
						for _, d := range dataCentre[:c.failing] {
							d.fault.Store(int32(c.kind))
						}
						time.Sleep(changeAfter.Duration())
						memory.put("a", "2")
						for _, d := range dataCentre[c.failing:] {
							took := d.waitUntilHeld("2", 2*c.apply)
							assert.Assert(t, took <= c.apply, "phase %d, changed after %d ms: daemon %s holds the change after %d ms",
								phase, changeAfter, d.store.SelfAddress, took)
						}
					})
				}
			}
		})
	}
}

// TestFollowersLeaveStoreToLeader checks that sound leaders spare the store the calls of
// their followers, in calm and as the table changes.
func TestFollowersLeaveStoreToLeader(t *testing.T) {
	for _, apply := range []clock.Millis{2_000, 3_000} {
		synctest.Test(t, func(t *testing.T) {
			memory := newMemoryStore()
			memory.put("a", "0")
			dataCentre := startDataCentre(t.Context(), memory, 8, 2, apply)
			time.Sleep(2 * time.Second)
			before := make([]int, len(dataCentre))
			for i, d := range dataCentre {
				before[i] = d.calls.count()
			}
			for i := range 30 {
				memory.put("a", fmt.Sprint(i))
				time.Sleep(time.Duration(700+300*(i%5)) * time.Millisecond)
			}
			for i, d := range dataCentre[1:] {
				assert.Equal(t, d.calls.count(), before[i+1], "daemon %d", i+1)
			}
			t.Logf("apply timeout %d ms: %d calls of the leader for 30 changes", apply, dataCentre[0].calls.count()-before[0])
		})
	}
}

// TestDelayedResponseIsDatedBack checks that a leader's response that was delayed on its way
// counts as old as it is. Guards against a follower that takes the delay for time since which
// the store has confirmed the table, and calls the next source later by as much.
func TestDelayedResponseIsDatedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const age, delay = 200, 300
		s := New(Config{Log: hclog.NewNullLogger(), Clock: clock.NewSystem(), ApplyTimeout: applyTimeout, SelfAddress: "self", Leaders: func() []string { return []string{"leader"} }})
		s.history("t").applyList(rowstore.Page{Position: rowstore.Position{Version: 1}}, s.Clock.Now())
		s.callPeer = func(ctx context.Context, _ string, _ ChangesRequest) (ChangesResponse, error) {
			clock.Sleep(ctx, 500)
			response := ChangesResponse{Version: 1, Age: age, Held: 500}
			clock.Sleep(ctx, delay)
			return response, ctx.Err()
		}
		_, err := s.Changes(t.Context(), "t", rowstore.Position{Version: 1}, applyTimeout)
		assert.NilError(t, err)
		assert.Equal(t, s.history("t").age(s.Clock.Now()), age+clock.Millis(delay))
	})
}

// TestLeaderAtEarlierVersion checks that a follower that has read the table at a later version
// than its leader, without changes in between, is confirmed by the leader all the same, and
// calls it no more often. Guards against a follower that calls its leader without a pause.
func TestLeaderAtEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := func(version int64) rowstore.Page {
			return rowstore.Page{Position: rowstore.Position{Version: version}, Rows: []rowstore.Row{{Table: "t", Key: "a", Version: 1}}}
		}
		newStore := func() *Store {
			return New(Config{Log: hclog.NewNullLogger(), Clock: clock.NewSystem(), ApplyTimeout: applyTimeout, SelfAddress: "self", Leaders: func() []string { return []string{"leader"} }})
		}
		leader, follower := newStore(), newStore()
		leader.history("t").applyList(list(40), leader.Clock.Now())
		follower.history("t").applyList(list(50), follower.Clock.Now())
		go clock.Every(t.Context(), 900, func() {
			unchanged := rowstore.Page{Position: rowstore.Position{Version: 40}}
			leader.history("t").applyChanges(unchanged.Position, unchanged, leader.Clock.Now())
		})
		calls := 0
		follower.callPeer = func(ctx context.Context, _ string, request ChangesRequest) (ChangesResponse, error) {
			calls++
			return leader.serveChanges(ctx, request), ctx.Err()
		}
		const maxCalls = 15
		for start := time.Now(); time.Since(start) < 10*time.Second && calls <= maxCalls; {
			_, err := follower.Changes(t.Context(), "t", rowstore.Position{Version: 50}, applyTimeout)
			assert.NilError(t, err)
		}
		assert.Assert(t, calls <= maxCalls, "more than %d calls in 10 s", maxCalls)
	})
}
