package peerstats

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
)

var statsKey = versionrouting.AnswerStatsKey{Pool: "text", OrderVersion: 7, Canary: true, Route: "draft"}

// newAggregator returns the aggregator of a daemon that has the calls in flight at server
// e1, one bad answer and one pinned session.
func newAggregator(c clock.Clock, calls int, session uint64) *Aggregator {
	a := New(c)
	a.SetOwn(map[string]loadbalance.Load{"e1": {Calls: calls, Prefill: 10}, "idle": {}},
		map[versionrouting.AnswerStatsKey]rollout.AnswerStats{statsKey: {Bad: 1}}, map[int64][]uint64{7: {session}})
	return a
}

// TestDepartures checks that a server's departure reaches the daemons of both data centres
// through the leaders, and stays in reports with new loads.
func TestDepartures(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second, remote := newAggregator(c, 1, 11), newAggregator(c, 2, 12), newAggregator(c, 8, 14)
	departure := loadbalance.Departure{ID: "e1", StartedAt: 5}
	second.SetOwnDepartures([]loadbalance.Departure{departure})
	second.SetOwn(nil, nil, nil)
	second.SetPeerTotal(leader.HandleReport(Report{From: "second", Snapshot: second.Own()}))
	remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()})
	assert.DeepEqual(t, leader.PeerDepartures(), []loadbalance.Departure{departure})
	assert.DeepEqual(t, remote.PeerDepartures(), []loadbalance.Departure{departure})
	assert.Equal(t, len(second.PeerDepartures()), 0, "its own")
}

// TestLimits checks that what servers state of their limits reaches the daemons of both data
// centres with its age there, the newest statement alone, and so does who shares the limits.
func TestLimits(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second, remote := newAggregator(c, 1, 11), newAggregator(c, 2, 12), newAggregator(c, 8, 14)
	limit := func(perSecond float64, age clock.Millis) loadbalance.LimitReport {
		return loadbalance.LimitReport{ID: "e1", StartedAt: 5, PerSecond: perSecond, Age: age, ValueAge: age}
	}
	second.SetOwnLimits([]loadbalance.LimitReport{limit(3, 500)}, []uint32{2})
	second.SetOwn(nil, nil, nil)
	leader.SetOwnLimits([]loadbalance.LimitReport{limit(0, 700)}, []uint32{1})
	second.SetPeerTotal(leader.HandleReport(Report{From: "second", Snapshot: second.Own()}))
	c.Advance(300)
	remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()})
	c.Advance(100)
	got := remote.PeerLimits()
	slices.Sort(got.Members)
	assert.DeepEqual(t, got, loadbalance.LimitPeers{Reports: []loadbalance.LimitReport{limit(3, 900)}, Members: []uint32{1, 2}})
	assert.DeepEqual(t, second.PeerLimits(), loadbalance.LimitPeers{Reports: []loadbalance.LimitReport{limit(0, 1_100)}, Members: []uint32{1}})
	c.Advance(2_000)
	assert.Equal(t, len(remote.PeerLimits().Members), 0, "not heard of lately")
}

// segments returns the parts of a prompt.
func segments(ids ...string) (parts []quarantine.Part) {
	for _, id := range ids {
		parts = append(parts, quarantine.SegmentPart(id))
	}
	return parts
}

// TestCrashEvidence checks that the evidence of a crash reaches the daemons of both data
// centres through the leaders with the ages that it has there, and outlives its daemon.
func TestCrashEvidence(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second, remote := newAggregator(c, 1, 11), newAggregator(c, 2, 12), newAggregator(c, 8, 14)
	crash := func(age clock.Millis, parts ...[]quarantine.Part) quarantine.Crash {
		var suspects []quarantine.Suspect
		for _, p := range parts {
			suspects = append(suspects, quarantine.Suspect{Parts: p})
		}
		return quarantine.Crash{Server: quarantine.ServerStart{ID: "e1", StartedAt: 5}, Age: age, Begun: true, Suspects: suspects}
	}
	second.SetOwnEvidence([]quarantine.Crash{crash(100, segments("1", "9"))}, []quarantine.SoundRuns{{Part: quarantine.SegmentPart("1"), Count: 2, Age: 50}})
	second.SetOwn(nil, nil, nil)
	leader.SetOwnEvidence([]quarantine.Crash{crash(90, segments("2", "9"))}, []quarantine.SoundRuns{{Part: quarantine.SegmentPart("1"), Count: 3, Age: 700}})
	c.Advance(10)
	leader.HandleReport(Report{From: "second", Snapshot: second.Own()})
	c.Advance(300)
	remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()})
	c.Advance(20_000)
	crashes, sound := remote.PeerEvidence()
	assert.DeepEqual(t, crashes, []quarantine.Crash{crash(20_400, segments("2", "9"), segments("1", "9"))}, cmpopts.IgnoreUnexported(quarantine.Suspect{}))
	assert.DeepEqual(t, sound, []quarantine.SoundRuns{{Part: quarantine.SegmentPart("1"), Count: 5, Age: 20_350}})
}

// TestCrashesInSnapshotAreBounded checks that the newest crashes are passed on.
func TestCrashesInSnapshotAreBounded(t *testing.T) {
	a := New(clock.NewManual(1_000))
	var crashes []quarantine.Crash
	for i := range 10 * maxCrashes {
		crashes = append(crashes, quarantine.Crash{Server: quarantine.ServerStart{StartedAt: int64(i)}, Age: clock.Millis(i)})
	}
	a.SetOwnEvidence(crashes, nil)
	total := a.DataCentreTotal().Crashes
	assert.Equal(t, len(total), maxCrashes)
	assert.Equal(t, total[maxCrashes-1].Age, clock.Millis(maxCrashes-1))
}

// TestTotals has two daemons report to a leader that exchanges totals with another data
// centre. Each daemon must end up with the total of all others.
func TestTotals(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second, third, remote := newAggregator(c, 1, 11), newAggregator(c, 2, 12), newAggregator(c, 4, 13), newAggregator(c, 8, 14)
	leader.SetDataCentreTotal("dc-2", remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()}))
	for _, a := range []*Aggregator{second, third, second, third} {
		name := "second"
		if a == third {
			name = "third"
		}
		a.SetPeerTotal(leader.HandleReport(Report{From: name, Snapshot: a.Own()}))
	}
	remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()})
	wanted := map[string]struct {
		aggregator *Aggregator
		calls      int
		pinned     uint64
	}{
		"leader":              {leader, 2 + 4 + 8, 14},
		"follower":            {second, 1 + 4 + 8, 13},
		"other follower":      {third, 1 + 2 + 8, 11},
		"another data centre": {remote, 1 + 2 + 4, 12},
	}
	for name, w := range wanted {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, w.aggregator.PeerLoads()["e1"].Calls, w.calls)
			assert.Equal(t, w.aggregator.CompareVersions("text", 7)["draft"].Canary.Bad, 4, "own and all others")
			assert.Assert(t, w.aggregator.IsPinned(7, w.pinned))
			assert.Assert(t, !w.aggregator.IsPinned(7, 99))
		})
	}
}

// TestLoadsExpire checks that the loads of an old report expire before its answer
// statistics do.
func TestLoadsExpire(t *testing.T) {
	c := clock.NewManual(1_000)
	a := newAggregator(c, 1, 11)
	a.HandleReport(Report{From: "other", Snapshot: newAggregator(c, 5, 12).Own()})
	assert.Equal(t, a.PeerLoads()["e1"].Calls, 5)
	c.Advance(3_000)
	assert.Equal(t, a.PeerLoads()["e1"].Calls, 0)
	assert.Equal(t, a.CompareVersions("text", 7)["draft"].Canary.Bad, 2)
}

// node is a daemon with its aggregator and its exchange on a loopback port.
type node struct {
	aggregator *Aggregator
	exchange   *Exchange
	listener   net.Listener
	server     *peer.Server
	calls      atomic.Int64 // in flight at server e1
}

func startNode(ctx context.Context, t *testing.T, name, dataCentre string, calls int, hosts map[string]fleet.Host) *node {
	t.Helper()
	system := clock.NewSystem()
	n := &node{aggregator: New(system), server: peer.NewServer(hclog.NewNullLogger(), "")}
	n.calls.Store(int64(calls))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n.listener = listener
	hosts[name] = fleet.Host{Address: listener.Addr().String(), DataCentre: dataCentre}
	n.exchange = NewExchange(Config{
		Log: hclog.NewNullLogger(), Clock: system, Host: name, DataCentre: dataCentre, Aggregator: n.aggregator,
		Peers: peer.NewClient("", nil), Hosts: func() map[string]fleet.Host { return hosts },
		Refresh: func() {
			n.aggregator.SetOwn(map[string]loadbalance.Load{"e1": {Calls: int(n.calls.Load())}}, nil, nil)
		},
	})
	n.exchange.Register(n.server)
	go func() { _ = n.server.Serve(ctx, listener) }()
	return n
}

// waitFor waits until the reports of the other daemons add up to the given number of calls.
func (n *node) waitFor(t *testing.T, calls int) {
	t.Helper()
	for range 400 {
		if n.aggregator.PeerLoads()["e1"].Calls == calls {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("calls of other daemons: got %d, want %d", n.aggregator.PeerLoads()["e1"].Calls, calls)
}

// TestLeaderTakeover stops the leader of a data centre. The exchange must go on with
// another daemon as the leader.
func TestLeaderTakeover(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hosts := make(map[string]fleet.Host)
	nodes := map[string]*node{}
	for name, calls := range map[string]int{"a1": 1, "a2": 2, "a3": 4} {
		nodes[name] = startNode(ctx, t, name, "dc-a", calls, hosts)
	}
	for name, calls := range map[string]int{"b1": 8, "b2": 16} {
		nodes[name] = startNode(ctx, t, name, "dc-b", calls, hosts)
	}
	stop := make(map[string]context.CancelFunc)
	for name, n := range nodes {
		var own context.Context
		own, stop[name] = context.WithCancel(ctx)
		go n.exchange.Run(own)
	}
	for name, own := range map[string]int{"a1": 1, "a2": 2, "a3": 4, "b1": 8, "b2": 16} {
		nodes[name].waitFor(t, 31-own)
	}
	leader := nodes["a1"].exchange.leader("dc-a", hosts)
	stopped := nodes[leader]
	stop[leader]()
	_ = stopped.listener.Close()
	stopped.server.CloseAll()
	// Changes must reach the other daemons through the new leader.
	nodes["b2"].calls.Store(32)
	remaining := 47 - int(stopped.calls.Load())
	for name, own := range map[string]int{"a1": 1, "a2": 2, "a3": 4} {
		if name != leader {
			nodes[name].waitFor(t, remaining-own)
		}
	}
}
