package peerstats

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
)

var subject = versionrouting.AnswerStatsKey{Pool: "text", OrderVersion: 7, Canary: true, Route: "draft"}

// told returns a board whose daemon has so many calls at server e1, has seen one bad
// answer and keeps one session.
func told(c clock.Clock, calls int, session uint64) *Aggregator {
	b := New(c)
	b.SetOwn(map[string]loadbalance.Load{"e1": {Calls: calls, Prefill: 10}, "idle": {}},
		map[versionrouting.AnswerStatsKey]rollout.AnswerStats{subject: {Bad: 1}}, map[int64][]uint64{7: {session}})
	return b
}

// TestSums lets two daemons report to a third, and that one exchange sums with
// another data centre.
func TestSums(t *testing.T) {
	c := clock.NewManual(1_000)
	first, second, third, far := told(c, 1, 11), told(c, 2, 12), told(c, 4, 13), told(c, 8, 14)
	first.SetDataCentreTotal("dc-2", far.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: first.DataCentreTotal()}))
	for _, b := range []*Aggregator{second, third, second, third} {
		name := "second"
		if b == third {
			name = "third"
		}
		b.SetPeerTotal(first.HandleReport(Report{From: name, Snapshot: b.Own()}))
	}
	far.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: first.DataCentreTotal()})
	wanted := map[string]struct {
		board *Aggregator
		calls int
		kept  uint64
	}{
		"the one that others report to": {first, 2 + 4 + 8, 14},
		"one that reports":              {second, 1 + 4 + 8, 13},
		"another that reports":          {third, 1 + 2 + 8, 11},
		"another data centre":           {far, 1 + 2 + 4, 12},
	}
	for name, w := range wanted {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, w.board.PeerLoads()["e1"].Calls, w.calls)
			assert.Equal(t, w.board.CompareVersions("text", 7)["draft"].Canary.Bad, 4, "own and all others")
			assert.Assert(t, w.board.IsPinned(7, w.kept))
			assert.Assert(t, !w.board.IsPinned(7, 99))
		})
	}
}

// TestOldLoadsDontCount drops loads that weren't heard of lately, and keeps what
// was counted.
func TestOldLoadsDontCount(t *testing.T) {
	c := clock.NewManual(1_000)
	b := told(c, 1, 11)
	b.HandleReport(Report{From: "other", Snapshot: told(c, 5, 12).Own()})
	assert.Equal(t, b.PeerLoads()["e1"].Calls, 5)
	c.Advance(3_000)
	assert.Equal(t, b.PeerLoads()["e1"].Calls, 0)
	assert.Equal(t, b.CompareVersions("text", 7)["draft"].Canary.Bad, 2)
}

// node is a daemon's board with its exchange on a loopback port.
type node struct {
	board    *Aggregator
	exchange *Exchange
	listener net.Listener
	server   *peer.Server
	calls    atomic.Int64
}

func startNode(ctx context.Context, t *testing.T, name, centre string, calls int, hosts map[string]fleet.Host) *node {
	t.Helper()
	system := clock.NewSystem()
	n := &node{board: New(system), server: peer.NewServer(hclog.NewNullLogger(), "")}
	n.calls.Store(int64(calls))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n.listener = listener
	hosts[name] = fleet.Host{Address: listener.Addr().String(), DataCentre: centre}
	n.exchange = NewExchange(Config{
		Log: hclog.NewNullLogger(), Clock: system, Host: name, DataCentre: centre, Aggregator: n.board,
		Peers: peer.NewClient("", nil), Hosts: func() map[string]fleet.Host { return hosts },
		Refresh: func() {
			n.board.SetOwn(map[string]loadbalance.Load{"e1": {Calls: int(n.calls.Load())}}, nil, nil)
		},
	})
	n.exchange.Register(n.server)
	go func() { _ = n.server.Serve(ctx, listener) }()
	return n
}

// waitFor waits until the daemon knows of so many calls of others.
func (n *node) waitFor(t *testing.T, calls int) {
	t.Helper()
	for range 400 {
		if n.board.PeerLoads()["e1"].Calls == calls {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("others' calls are %d, not %d", n.board.PeerLoads()["e1"].Calls, calls)
}

// TestAnyDaemonTakesOver ends the daemon to which those of a data centre report.
func TestAnyDaemonTakesOver(t *testing.T) {
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
	first := nodes["a1"].exchange.first("dc-a", hosts)
	gone := nodes[first]
	stop[first]()
	_ = gone.listener.Close()
	gone.server.CloseAll()
	// What changes from now on must reach the others by another daemon.
	nodes["b2"].calls.Store(32)
	left := 47 - int(gone.calls.Load())
	for name, own := range map[string]int{"a1": 1, "a2": 2, "a3": 4} {
		if name != first {
			nodes[name].waitFor(t, left-own)
		}
	}
}
