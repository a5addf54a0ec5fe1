package cluster

import (
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestClusterInvariants guards against daemons that accept new work under an outdated
// document or overload a cold server (properties P1, P2, P5, P6 and P12). It runs random
// sequences of requests, edits, restarts and overlapping faults, and checks every daemon
// against the oracle. Afterwards all faults end and every daemon must recover.
func TestClusterInvariants(t *testing.T) {
	dispatched, accepted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(t, "delays"))
		t.Repeat(commands(c))
		c.healAll()
		c.advance(4*confirmWindowMs + 2*requestLimitMs)
		c.checkRecovered()
		dispatched += c.dispatched
		accepted += len(c.oracle.accepted)
	})
	t.Logf("dispatched %d requests, accepted %d edits", dispatched, accepted)
	assert.Assert(t, dispatched > 0 && accepted > 0, "no request was dispatched or no edit was accepted")
}

// commands returns the commands by name. rapid runs the empty name after each command and
// picks the others by their sorted order, so a seed repeats a run only if the order is
// unchanged. Names that end in _again double the weight of a command.
func commands(c *cluster) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":                func(*rapid.T) { c.checkInvariants() },
		"pass_time":       func(t *rapid.T) { c.advance(drawDuration(t)) },
		"pass_time_again": func(t *rapid.T) { c.advance(drawDuration(t)) },
		"request_cold": func(t *rapid.T) {
			for _, m := range c.members {
				c.sendRequest(m, "v1", requestLimitMs, coldServer)
			}
		},
		"edit":              func(t *rapid.T) { c.drawEdit(t) },
		"edit_concurrently": func(t *rapid.T) { c.drawConcurrentEdits(t) },
		"request": func(t *rapid.T) {
			onlyServer := rapid.SampledFrom([]string{"", coldServer, "engine-far"}).Draw(t, "only_server")
			version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			durationMs := rapid.IntRange(100, requestLimitMs).Draw(t, "duration_ms")
			for _, m := range c.members {
				c.sendRequest(m, version, durationMs, onlyServer)
			}
		},
		"kill": func(t *rapid.T) { c.drawMember(t).daemon = nil },
		"start": func(t *rapid.T) {
			if m := c.drawMember(t); m.daemon == nil {
				c.startDaemon(m)
			}
		},
		"restart_all_but_one": func(t *rapid.T) {
			excluded := c.drawMember(t)
			for _, m := range c.members {
				if m != excluded && rapid.Bool().Draw(t, "restarted") {
					c.startDaemon(m)
				}
			}
		},
		"freeze":       func(t *rapid.T) { c.drawMember(t).frozen = true },
		"thaw":         func(t *rapid.T) { c.drawMember(t).frozen = false },
		"store_down":   func(*rapid.T) { c.storeDown = true },
		"store_up":     func(*rapid.T) { c.storeDown = false },
		"store_access": func(t *rapid.T) { m := c.drawMember(t); m.storeUnreachable = !m.storeUnreachable },
		"block_one_way": func(t *rapid.T) {
			a, b := c.drawMember(t), c.drawMember(t)
			a.unreachablePeers[b.name] = !a.unreachablePeers[b.name]
		},
		"isolate":                 func(t *rapid.T) { c.isolate(c.drawMember(t)) },
		"heal":                    func(*rapid.T) { c.healAll() },
		"heal_again":              func(*rapid.T) { c.healAll() },
		"restart_during_edit":     func(t *rapid.T) { c.restartDuringEdit(t) },
		"restart_during_requests": func(t *rapid.T) { c.restartDuringRequests(t) },
	}
}

func (c *cluster) drawMember(t *rapid.T) *member {
	return c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
}

func drawDuration(t *rapid.T) clock.Millis {
	return clock.Millis(rapid.IntRange(1, 30).Draw(t, "steps") * tickStepMs)
}

// isolate blocks the member's calls to and from all others and to the table service.
func (c *cluster) isolate(m *member) {
	m.storeUnreachable = true
	for _, other := range c.members {
		m.unreachablePeers[other.name] = true
		other.unreachablePeers[m.name] = true
	}
}

// healAll ends all faults and starts the daemons that are not running.
func (c *cluster) healAll() {
	c.storeDown = false
	for _, m := range c.members {
		m.storeUnreachable, m.frozen = false, false
		clear(m.unreachablePeers)
		if m.daemon == nil {
			c.startDaemon(m)
		}
	}
}

// checkRecovered fails the test unless every daemon has the newest document and has
// confirmed it.
func (c *cluster) checkRecovered() {
	newest, err := c.currentDocument()
	must(c.t, err)
	for _, m := range c.members {
		snapshot := m.daemon.machine.Snapshot(c.clock.Now())
		if !snapshot.Confirmed(c.clock.Now()) || snapshot.Document.Version != newest.Version {
			c.t.Fatalf("%s did not recover: document version %d, newest %d, confirmed %v", m.name, snapshot.Document.Version, newest.Version, snapshot.Confirmed(c.clock.Now()))
		}
	}
}

// restartDuringEdit commits an edit, makes the table service unavailable and restarts some
// of the daemons that may have adopted the edit, so that they lose it before it is accepted.
func (c *cluster) restartDuringEdit(t *rapid.T) {
	m := c.drawMember(t)
	before, ok := c.editableDocument(m)
	if !ok {
		return
	}
	c.edit(m, before, drawChange(t))
	c.advance(clock.Millis(rapid.IntRange(1, 8).Draw(t, "steps") * tickStepMs))
	c.storeDown = true
	for _, other := range c.members {
		if other != m && rapid.Bool().Draw(t, "restarted") {
			c.startDaemon(other)
		}
	}
	c.advance(clock.Millis(rapid.IntRange(1, 40).Draw(t, "steps") * tickStepMs))
}

// restartDuringRequests restarts daemons that have requests in flight at the cold server.
// The server continues to run those requests, which the new daemons do not know of.
func (c *cluster) restartDuringRequests(t *rapid.T) {
	for _, m := range c.members {
		c.sendRequest(m, "v1", requestLimitMs, coldServer)
	}
	for _, m := range c.members {
		if rapid.Bool().Draw(t, "restarted") {
			c.startDaemon(m)
		}
	}
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		c.advance(clock.Millis(rapid.IntRange(1, 12).Draw(t, "steps") * tickStepMs))
		for _, m := range c.members {
			c.sendRequest(m, "v1", requestLimitMs, coldServer)
		}
	}
}

// editableDocument returns the current document and whether an operator can edit it
// through the member.
func (c *cluster) editableDocument(m *member) (*tables.Document, bool) {
	if m.daemon == nil || m.frozen || m.storeUnreachable {
		return nil, false
	}
	doc, err := c.currentDocument()
	return doc, err == nil
}

func (c *cluster) drawEdit(t *rapid.T) {
	m := c.drawMember(t)
	if before, ok := c.editableDocument(m); ok {
		c.edit(m, before, drawChange(t))
	}
}

// drawConcurrentEdits sends two edits of the same document version. At most one may be
// committed.
func (c *cluster) drawConcurrentEdits(t *rapid.T) {
	a, b := c.drawMember(t), c.drawMember(t)
	before, ok := c.editableDocument(a)
	if _, otherOK := c.editableDocument(b); !ok || !otherOK {
		return
	}
	first, second := drawChange(t), drawChange(t)
	service := c.tableService
	c.edit(a, before, first)
	c.edit(b, before, second)
	rows, _ := service.Scan(t.Context(), "config", "", 10)
	assert.Assert(t, rows[0].Version <= before.Version+1, "both concurrent edits were committed")
}

func drawChange(t *rapid.T) func(*tables.Document) *tables.Document {
	state := rapid.SampledFrom([]tables.ServiceState{tables.InService, tables.OutOfService}).Draw(t, "state")
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	versionState := rapid.SampledFrom([]tables.VersionState{tables.Active, tables.Withdrawn, tables.Paused}).Draw(t, "version_state")
	changes := []func(*tables.Document) *tables.Document{
		func(d *tables.Document) *tables.Document { return d.WithDataCentreState("dc-2", state) },
		func(d *tables.Document) *tables.Document {
			return d.WithVersion("small", version, tables.ModelVersion{State: versionState, Share: 1})
		},
		func(d *tables.Document) *tables.Document { return d.WithServerState("text", "engine-warm", state) },
		func(d *tables.Document) *tables.Document { return withAccountAllowed(d, state == tables.InService) },
		toggleSpareHost,
	}
	return rapid.SampledFrom(changes).Draw(t, "change")
}

func withAccountAllowed(d *tables.Document, allowed bool) *tables.Document {
	c := *d
	account := c.ClientAccounts["smiths"]
	account.Allowed = nil
	if allowed {
		account.Allowed = []string{"small"}
	}
	c.ClientAccounts = map[string]tables.ClientAccount{"smiths": account}
	return &c
}

// toggleSpareHost adds the spare host to the hosts table, or removes it.
func toggleSpareHost(d *tables.Document) *tables.Document {
	c := *d
	c.Hosts = maps.Clone(d.Hosts)
	if _, ok := c.Hosts[spareMember]; ok {
		delete(c.Hosts, spareMember)
	} else {
		c.Hosts[spareMember] = tables.Host{PeerAddress: address(memberCount + 1), DataCentre: "dc-1", State: tables.InService}
	}
	return &c
}
