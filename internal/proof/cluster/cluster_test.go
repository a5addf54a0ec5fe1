package cluster

import (
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestClusterKeepsItsPromises drives several cores by random commands and
// faults, together and twice, and holds them against the oracle: P1, P2, P5, P6
// and P12.
func TestClusterKeepsItsPromises(t *testing.T) {
	handed, accepted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "delays"))
		t.Repeat(commands(w))
		w.healAll()
		w.pass(4*window + 2*requestLimit)
		w.checkRecovered()
		handed += w.handed
		accepted += len(w.oracle.accepted)
	})
	t.Logf("handed over %d requests, accepted %d edits", handed, accepted)
	assert.Assert(t, handed > 0 && accepted > 0, "the commands must do something")
}

func commands(w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        func(*rapid.T) { w.checkAll() },
		"pass":    func(t *rapid.T) { w.pass(clockMillis(t)) },
		"pass_on": func(t *rapid.T) { w.pass(clockMillis(t)) },
		"request_on": func(t *rapid.T) {
			for _, m := range w.members {
				w.request(m, "v1", requestLimit, coldServer)
			}
		},
		"edit":     func(t *rapid.T) { w.drawEdit(t) },
		"edit_two": func(t *rapid.T) { w.drawRace(t) },
		"request": func(t *rapid.T) {
			only := rapid.SampledFrom([]string{"", coldServer, "engine-far"}).Draw(t, "only")
			version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			lasts := rapid.IntRange(100, requestLimit).Draw(t, "lasts")
			for _, m := range w.members {
				w.request(m, version, lasts, only)
			}
		},
		"kill": func(t *rapid.T) { w.draw(t).node = nil },
		"start": func(t *rapid.T) {
			if m := w.draw(t); m.node == nil {
				w.start(m)
			}
		},
		"restart_all_but_one": func(t *rapid.T) {
			spared := w.draw(t)
			for _, m := range w.members {
				if m != spared && rapid.Bool().Draw(t, "restarted") {
					w.start(m)
				}
			}
		},
		"freeze":     func(t *rapid.T) { w.draw(t).frozen = true },
		"thaw":       func(t *rapid.T) { w.draw(t).frozen = false },
		"store_down": func(*rapid.T) { w.storeDown = true },
		"store_up":   func(*rapid.T) { w.storeDown = false },
		"store_cut":  func(t *rapid.T) { m := w.draw(t); m.storeCut = !m.storeCut },
		"cut_one_way": func(t *rapid.T) {
			a, b := w.draw(t), w.draw(t)
			a.cutTo[b.name] = !a.cutTo[b.name]
		},
		"isolate":             func(t *rapid.T) { w.isolate(w.draw(t)) },
		"heal":                func(*rapid.T) { w.healAll() },
		"heal_on":             func(*rapid.T) { w.healAll() },
		"restart_in_mid_edit": func(t *rapid.T) { w.restartInMidEdit(t) },
		"restart_with_work":   func(t *rapid.T) { w.restartWithWork(t) },
	}
}

func (w *world) draw(t *rapid.T) *member {
	return w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
}

func clockMillis(t *rapid.T) clock.Millis {
	return clock.Millis(rapid.IntRange(1, 30).Draw(t, "steps") * tickStep)
}

func (w *world) isolate(m *member) {
	m.storeCut = true
	for _, other := range w.members {
		m.cutTo[other.name] = true
		other.cutTo[m.name] = true
	}
}

func (w *world) healAll() {
	w.storeDown = false
	for _, m := range w.members {
		m.storeCut, m.frozen = false, false
		clear(m.cutTo)
		if m.node == nil {
			w.start(m)
		}
	}
}

// checkRecovered wants every member back at the newest version.
func (w *world) checkRecovered() {
	newest, err := w.current()
	must(w.t, err)
	for _, m := range w.members {
		s := m.node.core.Snapshot(w.clock.Now())
		if !s.Confirmed(w.clock.Now()) || s.Document.Version != newest.Version {
			w.t.Fatalf("%s didn't recover: version %d of %d, confirmed %v", m.name, s.Document.Version, newest.Version, s.Confirmed(w.clock.Now()))
		}
	}
}

// restartInMidEdit has the table service go away just after an edit, and some of
// those that have adopted it forget it before it is accepted.
func (w *world) restartInMidEdit(t *rapid.T) {
	m := w.draw(t)
	before, ok := w.canEdit(m)
	if !ok {
		return
	}
	w.edit(m, before, drawChange(t))
	w.pass(clock.Millis(rapid.IntRange(1, 8).Draw(t, "steps") * tickStep))
	w.storeDown = true
	for _, other := range w.members {
		if other != m && rapid.Bool().Draw(t, "restarted") {
			w.start(other)
		}
	}
	w.pass(clock.Millis(rapid.IntRange(1, 40).Draw(t, "steps") * tickStep))
}

// restartWithWork has hosts that run requests on the cold server lost and
// replaced, while the server goes on with those requests.
func (w *world) restartWithWork(t *rapid.T) {
	for _, m := range w.members {
		w.request(m, "v1", requestLimit, coldServer)
	}
	for _, m := range w.members {
		if rapid.Bool().Draw(t, "restarted") {
			w.start(m)
		}
	}
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		w.pass(clock.Millis(rapid.IntRange(1, 12).Draw(t, "steps") * tickStep))
		for _, m := range w.members {
			w.request(m, "v1", requestLimit, coldServer)
		}
	}
}

// canEdit tells whether an operator could edit through the member.
func (w *world) canEdit(m *member) (*tables.Document, bool) {
	if m.node == nil || m.frozen || m.storeCut {
		return nil, false
	}
	doc, err := w.current()
	return doc, err == nil
}

func (w *world) drawEdit(t *rapid.T) {
	m := w.draw(t)
	if before, ok := w.canEdit(m); ok {
		w.edit(m, before, drawChange(t))
	}
}

// drawRace has two operators edit the same version; only one may win.
func (w *world) drawRace(t *rapid.T) {
	a, b := w.draw(t), w.draw(t)
	before, ok := w.canEdit(a)
	if _, other := w.canEdit(b); !ok || !other {
		return
	}
	first, second := drawChange(t), drawChange(t)
	edits := w.table
	w.edit(a, before, first)
	w.edit(b, before, second)
	rows, _ := edits.Scan(t.Context(), "config", "", 10)
	assert.Assert(t, rows[0].Version <= before.Version+1, "both racing edits were committed")
}

func drawChange(t *rapid.T) func(*tables.Document) *tables.Document {
	state := rapid.SampledFrom([]tables.ServiceState{tables.InService, tables.OutOfService}).Draw(t, "state")
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	stage := rapid.SampledFrom([]tables.VersionState{tables.Active, tables.Withdrawn, tables.Paused}).Draw(t, "stage")
	changes := []func(*tables.Document) *tables.Document{
		func(d *tables.Document) *tables.Document { return d.WithDataCentreState("dc-2", state) },
		func(d *tables.Document) *tables.Document {
			return d.WithVersion("small", version, tables.ModelVersion{State: stage, Share: 1})
		},
		func(d *tables.Document) *tables.Document { return d.WithServerState("text", "engine-warm", state) },
		func(d *tables.Document) *tables.Document { return withAllowed(d, state == tables.InService) },
		toggleSpare,
	}
	return rapid.SampledFrom(changes).Draw(t, "change")
}

func withAllowed(d *tables.Document, allowed bool) *tables.Document {
	c := *d
	account := c.ClientAccounts["smiths"]
	account.Allowed = nil
	if allowed {
		account.Allowed = []string{"small"}
	}
	c.ClientAccounts = map[string]tables.ClientAccount{"smiths": account}
	return &c
}

// toggleSpare adds the spare host to the members, or removes it.
func toggleSpare(d *tables.Document) *tables.Document {
	c := *d
	c.Hosts = maps.Clone(d.Hosts)
	if _, ok := c.Hosts[spareMember]; ok {
		delete(c.Hosts, spareMember)
	} else {
		c.Hosts[spareMember] = tables.Host{PeerAddress: address(memberCount + 1), DataCentre: "dc-1", State: tables.InService}
	}
	return &c
}
