package traffic

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
)

// billHost is a host whose daemon bills requests.
type billHost struct {
	host
	recorder *bills.Recorder
	copies   map[string]bool // IDs of the records that this incarnation has had a copy of
}

// billCluster is a set of daemons with an oracle of the delivered requests.
type billCluster struct {
	*scheduler
	t           *rapid.T
	hosts       []*billHost
	unreachable map[string]bool // addresses that other daemons can't reach
	delivered   map[string]bool // requests whose caller has the complete response
	singleCopy  map[string]bool // delivered without a replica and without a confirmed write
	copiesLost  map[string]int  // by request
	requests    int
}

func newBillCluster(t *rapid.T) *billCluster {
	c := &billCluster{scheduler: newScheduler(), t: t, unreachable: map[string]bool{}, delivered: map[string]bool{}, singleCopy: map[string]bool{}, copiesLost: map[string]int{}}
	for i := range 4 {
		h := &billHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	return c
}

// start starts a daemon without records on the host.
func (c *billCluster) start(h *billHost) {
	h.copies = make(map[string]bool)
	h.recorder = bills.NewRecorder(c.newCommon(h.name), c.table, c, func() *controlstate.Snapshot { return c.snapshot(h) })
}

func (c *billCluster) snapshot(self *billHost) *controlstate.Snapshot {
	s := &controlstate.Snapshot{Self: self.name, DataCentre: "dc-0", Document: &tables.Document{Hosts: map[string]tables.Host{}}}
	for i, h := range c.hosts {
		s.Document.Hosts[h.name] = tables.Host{PeerAddress: h.name, DataCentre: fmt.Sprintf("dc-%d", i%2)}
		if h != self {
			s.LivePeers = append(s.LivePeers, h.name)
		}
	}
	return s
}

func (c *billCluster) find(address string) *billHost {
	for _, h := range c.hosts {
		if h.name == address {
			return h
		}
	}
	return nil
}

// HoldBills implements bills.Peers. It returns false if the daemon is unreachable or frozen.
func (c *billCluster) HoldBills(_ context.Context, address string, records []billing.Record) bool {
	c.suspend()
	h := c.find(address)
	if c.unreachable[address] || h.frozen || !h.recorder.Hold(records) {
		return false
	}
	for _, r := range records {
		h.copies[r.ID] = true
	}
	c.suspend()
	return true
}

// ReleaseBills implements bills.Peers. It has no effect if the daemon is unreachable or
// frozen.
func (c *billCluster) ReleaseBills(_ context.Context, address string, ids []string) {
	if h := c.find(address); !c.unreachable[address] && !h.frozen {
		h.recorder.Release(ids)
	}
}

// request spawns a task that records the bill of a request and then delivers its response.
func (c *billCluster) request(h *billHost) {
	c.requests++
	id := fmt.Sprintf("request-%d", c.requests)
	recorder, copies := h.recorder, h.copies
	c.spawn(&h.host, func() {
		copies[id] = true
		err := recorder.Record(context.Background(), billing.Record{ID: id, Account: "smiths", Tokens: 1})
		c.delivered[id] = true
		c.singleCopy[id] = err != nil
	})
}

func (c *billCluster) isWritten(id string) bool {
	_, err := c.table.Memory.Get(context.Background(), bills.Table, id)
	return err == nil
}

// tryLoseCopies reports whether the daemon may be killed, and if so counts its copies as
// lost. Only single losses are tolerated: a delivered, unwritten record may lose one copy,
// whichever it is, and further ones only while another copy remains. A record that the
// recorder reported to be without a replica may not lose its last copy.
func (c *billCluster) tryLoseCopies(victim *billHost) bool {
	for id := range c.delivered {
		if c.isWritten(id) || !victim.copies[id] || c.otherCopies(victim, id) > 0 {
			continue
		}
		if c.singleCopy[id] || c.copiesLost[id] > 0 {
			return false
		}
	}
	for id := range victim.copies {
		c.copiesLost[id]++
	}
	return true
}

func (c *billCluster) otherCopies(victim *billHost, id string) int {
	copies := 0
	for _, h := range c.hosts {
		if h != victim && h.copies[id] {
			copies++
		}
	}
	return copies
}

func (c *billCluster) flush(h *billHost) {
	recorder := h.recorder
	c.spawn(&h.host, func() { _, _ = recorder.Flush(context.Background()) })
}

// TestEachDeliveredRequestIsBilledOnce guards against a delivered request whose bill record
// is lost (property P4). Daemons are killed one after another while the table service and
// the links between daemons fail.
func TestEachDeliveredRequestIsBilledOnce(t *testing.T) {
	delivered, singleCopy, kills := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newBillCluster(t)
		draw := func() *billHost { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
		steps := func(t *rapid.T) {
			for range rapid.IntRange(1, 10).Draw(t, "steps") {
				c.step(rapid.IntRange(0, 9).Draw(t, "task"))
			}
		}
		// An action that is listed twice is drawn twice as often.
		t.Repeat(map[string]func(*rapid.T){
			"request":    func(*rapid.T) { c.request(draw()) },
			"request_2":  func(*rapid.T) { c.request(draw()) },
			"steps":      steps,
			"steps_2":    steps,
			"flush":      func(*rapid.T) { c.flush(draw()) },
			"fail_call":  func(t *rapid.T) { c.drawCallOutcome(t) },
			"late_write": func(t *rapid.T) { c.table.ApplyDelayed(t.Context()) },
			"down":       func(*rapid.T) { c.tableDown = !c.tableDown },
			"disconnect": func(*rapid.T) { h := draw(); c.unreachable[h.name] = !c.unreachable[h.name] },
			"freeze":     func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill": func(*rapid.T) {
				if h := draw(); c.tryLoseCopies(h) {
					kills++
					c.kill(&h.host)
					c.start(h)
				}
			},
			"time": func(t *rapid.T) { c.clock.Advance(clock.Millis(rapid.IntRange(100, 9000).Draw(t, "ms"))) },
		})
		c.flushAll()
		for id := range c.delivered {
			if !c.isWritten(id) {
				t.Fatalf("%s was delivered but never billed", id)
			}
			delivered++
			if c.singleCopy[id] {
				singleCopy++
			}
		}
	})
	t.Logf("delivered %d requests, %d of them with one copy at first; %d daemons killed", delivered, singleCopy, kills)
	assert.Assert(t, delivered > 0 && kills > 0)
}

// flushAll removes all faults, waits until the replicas may be written and checks that each
// record of each daemon is then written.
func (c *billCluster) flushAll() {
	clear(c.unreachable)
	var hosts []*host
	for _, h := range c.hosts {
		hosts = append(hosts, &h.host)
	}
	c.runToCompletion(hosts)
	c.clock.Advance(60_000)
	for range 3 {
		for _, h := range c.hosts {
			c.flush(h)
		}
		c.runToCompletion(hosts)
	}
	for _, h := range c.hosts {
		if own, held := h.recorder.Counts(); own+held > 0 {
			c.t.Fatalf("%s has %d records of its own and %d replicas that are not written", h.name, own, held)
		}
	}
}
