package traffic

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
)

// pinHost is a daemon that serves sessions.
type pinHost struct {
	host
	keeper *pins.Resolver
}

// pinWorld is several daemons with an oracle of what each session was given.
type pinWorld struct {
	*scheduler
	t        *rapid.T
	hosts    []*pinHost
	version  string // that new sessions get now
	given    map[string]string
	answered int
	refused  int
}

func (w *pinWorld) start(h *pinHost) {
	doc := &tables.Document{Hosts: map[string]tables.Host{}}
	for i := range 3 {
		name := fmt.Sprintf("entry-%d", i)
		doc.Hosts[name] = tables.Host{PeerAddress: name}
	}
	snapshot := &controlstate.Snapshot{Self: h.name, Document: doc}
	h.keeper = pins.NewResolver(w.common(h.name), w.table, w, func() *controlstate.Snapshot { return snapshot })
}

// PutPins gives a copy to another daemon.
func (w *pinWorld) PutPins(_ context.Context, address, name string, p session.Pins) {
	for _, h := range w.hosts {
		if h.name == address {
			h.keeper.StoreReplica(name, p)
		}
	}
}

// GetPins asks another daemon for its copy.
func (w *pinWorld) GetPins(_ context.Context, address, name string) session.Pins {
	for _, h := range w.hosts {
		if h.name == address {
			return h.keeper.Cached(name)
		}
	}
	return nil
}

func (w *pinWorld) resolve(h *pinHost, name string) {
	keeper := h.keeper
	proposed := session.Pins{"small": w.version}
	w.spawn(&h.host, func() {
		got, err := keeper.Resolve(context.Background(), name, proposed)
		if err != nil {
			w.refused++
			return
		}
		w.answered++
		before, ok := w.given[name]
		if ok && before != got["small"] {
			w.t.Fatalf("session %s was on %s and is now on %s", name, before, got["small"])
		}
		w.given[name] = got["small"]
	})
}

// TestSessionsKeepTheirVersion sends sessions without tokens through several
// daemons while a roll-out moves the shares: P3.
func TestSessionsKeepTheirVersion(t *testing.T) {
	answered, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &pinWorld{scheduler: newScheduler(), t: t, version: "v1", given: map[string]string{}}
		for i := range 3 {
			h := &pinHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
			w.hosts = append(w.hosts, h)
			w.start(h)
		}
		draw := func() *pinHost { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
		steps := func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				w.step(rapid.IntRange(0, 9).Draw(t, "task"))
			}
		}
		resolve := func(t *rapid.T) {
			w.resolve(draw(), fmt.Sprintf("session-%d", rapid.IntRange(0, 2).Draw(t, "session")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"resolve":    resolve,
			"resolve_on": resolve,
			"roll_out":   func(t *rapid.T) { w.version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version") },
			"steps":      steps,
			"fate":       func(t *rapid.T) { w.drawFate(t) },
			"late":       func(t *rapid.T) { w.table.ApplyDelayed(t.Context()) },
			"down":       func(*rapid.T) { w.down = !w.down },
			"freeze":     func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill":       func(*rapid.T) { h := draw(); w.kill(&h.host); w.start(h) },
		})
		answered += w.answered
		refused += w.refused
	})
	t.Logf("answered %d session requests, refused %d", answered, refused)
	assert.Assert(t, answered > 0 && refused > 0)
}
