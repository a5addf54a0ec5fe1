package peerlimits

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// daemon is a broker that listens for others.
type daemon struct {
	broker   *Broker
	balancer *loadbalance.Balancer
}

var limitedServer = fleet.Entry{Server: fleet.Server{ID: "e1", Pool: "text", Address: "127.0.0.1:1", Slots: 8, StartedAt: 5}}

// newDaemons returns daemons on the hosts a and b, which share a limit of two requests a
// second. c is listed but doesn't exist.
func newDaemons(t *testing.T, c clock.Clock) (a, b daemon) {
	t.Helper()
	hosts := map[string]fleet.Host{"c": {Address: "127.0.0.1:1"}}
	names := []string{"a", "b", "c"}
	list := make(map[string]daemon)
	for _, name := range names[:2] {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		hosts[name] = fleet.Host{Address: listener.Addr().String()}
		d := daemon{balancer: loadbalance.NewBalancer()}
		d.broker = New(Config{
			Clock: c, Host: name, Balancer: d.balancer, Peers: peer.NewClient("key", nil),
			Hosts: func() map[string]fleet.Host { return hosts },
		})
		server := peer.NewServer(hclog.NewNullLogger(), "key")
		d.broker.Register(server)
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go func() { _ = server.Serve(ctx, listener) }()
		d.balancer.RecordLimit(&limitedServer, loadbalance.Limit{Kind: loadbalance.ValidLimit, PerSecond: 2}, c.Now(), c.Now())
		d.balancer.SetLimitPeers(loadbalance.LimitPeers{Members: []uint32{loadbalance.MemberID("a"), loadbalance.MemberID("b")}}, names, name, c.Now())
		list[name] = d
	}
	return list["a"], list["b"]
}

// place reports whether the daemon may send a request to the limited server.
func (d daemon) place(now clock.Millis) bool {
	v := fleet.NewView().WithServer(limitedServer.Server, 0)
	_, result := d.balancer.Choose(v, loadbalance.Request{Pool: catalog.Pool{Name: "text"}, Now: now})
	return result == loadbalance.Chosen
}

// TestBorrow checks that a daemon gets the tokens that another one doesn't use, and asks no
// more often than there are tokens.
func TestBorrow(t *testing.T) {
	c := clock.NewManual(10_000)
	a, b := newDaemons(t, c)
	assert.Assert(t, !a.place(c.Now()) && !b.place(c.Now()), "the buckets are empty at first")
	c.Advance(5_000)
	assert.Assert(t, a.place(c.Now()))
	assert.Assert(t, !a.place(c.Now()))
	assert.Assert(t, a.broker.Borrow(t.Context(), &limitedServer))
	assert.Assert(t, a.place(c.Now()), "with the token of b")
	assert.Assert(t, !b.place(c.Now()), "it has lent its token")
	assert.Assert(t, !a.broker.Borrow(t.Context(), &limitedServer))
	c.Advance(400)
	assert.Assert(t, !a.broker.Borrow(t.Context(), &limitedServer), "asked too early")
	c.Advance(700)
	assert.Assert(t, a.broker.Borrow(t.Context(), &limitedServer))
}

// TestBorrowFromNobody checks that a daemon that can't reach the others gives up soon and
// doesn't ask each time.
func TestBorrowFromNobody(t *testing.T) {
	c := clock.NewManual(10_000)
	a, _ := newDaemons(t, c)
	a.broker.Hosts = func() map[string]fleet.Host { return map[string]fleet.Host{"b": {Address: "127.0.0.1:1"}} }
	for range 50 {
		startedAt := time.Now()
		assert.Assert(t, !a.broker.Borrow(t.Context(), &limitedServer))
		assert.Assert(t, time.Since(startedAt) < 4*borrowTimeout)
	}
	assert.Equal(t, a.broker.asksMade, 1)
}

// TestAsksAreBounded checks the number of calls in a second.
func TestAsksAreBounded(t *testing.T) {
	var b Broker
	made := 0
	for i := range 3_000 {
		if b.mayAsk(clock.Millis(100_000 + i)) {
			made++
		}
	}
	assert.Equal(t, made, 3*maxAsksPerSecond)
}
