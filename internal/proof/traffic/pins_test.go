package traffic

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
)

// pinHost is a host whose daemon resolves the pins of sessions.
type pinHost struct {
	host
	resolver atomic.Pointer[pins.Resolver] // replicas arrive in goroutines of other daemons
}

// pinCluster is a set of daemons with an oracle of the version that each session got.
type pinCluster struct {
	*scheduler
	t              *rapid.T
	hosts          []*pinHost
	newestVersion  string            // proposed for new sessions
	sessionVersion map[string]string // by session
	resolved       int
	rejected       int
}

// start starts a daemon with an empty cache on the host.
func (c *pinCluster) start(h *pinHost) {
	document := &tables.Document{Hosts: map[string]tables.Host{}}
	for i := range 3 {
		name := fmt.Sprintf("entry-%d", i)
		document.Hosts[name] = tables.Host{PeerAddress: name}
	}
	snapshot := &controlstate.Snapshot{Self: h.name, Document: document}
	h.resolver.Store(pins.NewResolver(c.newCommon(h.name), c.table, c, func() *controlstate.Snapshot { return snapshot }))
}

// PutPins implements pins.Peers.
func (c *pinCluster) PutPins(_ context.Context, address, name string, p session.Pins) {
	for _, h := range c.hosts {
		if h.name == address {
			h.resolver.Load().StoreReplica(name, p)
		}
	}
}

// GetPins implements pins.Peers.
func (c *pinCluster) GetPins(_ context.Context, address, name string) session.Pins {
	for _, h := range c.hosts {
		if h.name == address {
			return h.resolver.Load().Cached(name)
		}
	}
	return nil
}

// resolve spawns a task that resolves the session's pins and checks that the version has
// not changed.
func (c *pinCluster) resolve(h *pinHost, name string) {
	resolver := h.resolver.Load()
	proposed := session.Pins{"small": c.newestVersion}
	c.spawn(&h.host, func() {
		got, err := resolver.Resolve(context.Background(), name, proposed)
		if err != nil {
			c.rejected++
			return
		}
		c.resolved++
		previous, ok := c.sessionVersion[name]
		if ok && previous != got["small"] {
			c.t.Fatalf("session %s changed from version %s to %s", name, previous, got["small"])
		}
		c.sessionVersion[name] = got["small"]
	})
}

// TestSessionsKeepTheirVersion guards against a session that changes its model version
// during a roll-out (property P3). Requests of a session without a token reach several
// daemons that propose different versions, while the table service fails and daemons are
// killed.
func TestSessionsKeepTheirVersion(t *testing.T) {
	resolved, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := &pinCluster{scheduler: newScheduler(), t: t, newestVersion: "v1", sessionVersion: map[string]string{}}
		for i := range 3 {
			h := &pinHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
			c.hosts = append(c.hosts, h)
			c.start(h)
		}
		draw := func() *pinHost { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
		steps := func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				c.step(rapid.IntRange(0, 9).Draw(t, "task"))
			}
		}
		resolve := func(t *rapid.T) {
			c.resolve(draw(), fmt.Sprintf("session-%d", rapid.IntRange(0, 2).Draw(t, "session")))
		}
		// An action that is listed twice is drawn twice as often.
		t.Repeat(map[string]func(*rapid.T){
			"resolve":    resolve,
			"resolve_2":  resolve,
			"roll_out":   func(t *rapid.T) { c.newestVersion = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version") },
			"steps":      steps,
			"fail_call":  func(t *rapid.T) { c.drawCallOutcome(t) },
			"late_write": func(t *rapid.T) { c.table.ApplyDelayed(t.Context()) },
			"down":       func(*rapid.T) { c.tableDown = !c.tableDown },
			"freeze":     func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill":       func(*rapid.T) { h := draw(); c.kill(&h.host); c.start(h) },
		})
		resolved += c.resolved
		rejected += c.rejected
	})
	t.Logf("resolved the pins of %d session requests, rejected %d", resolved, rejected)
	assert.Assert(t, resolved > 0 && rejected > 0)
}
