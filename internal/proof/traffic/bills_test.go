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

// billHost is a daemon that bills requests.
type billHost struct {
	host
	keeper *bills.Recorder
	has    map[string]bool // records that this run has a copy of
}

// billWorld is several daemons with an oracle of what was delivered.
type billWorld struct {
	*scheduler
	t         *rapid.T
	hosts     []*billHost
	cut       map[string]bool // hosts that others don't reach
	delivered map[string]bool // requests whose caller has the whole answer
	alone     map[string]bool // delivered although no second copy could be had
	losses    map[string]int  // copies lost so far
	requests  int
}

func newBillWorld(t *rapid.T) *billWorld {
	w := &billWorld{scheduler: newScheduler(), t: t, cut: map[string]bool{}, delivered: map[string]bool{}, alone: map[string]bool{}, losses: map[string]int{}}
	for i := range 4 {
		h := &billHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *billWorld) start(h *billHost) {
	h.has = make(map[string]bool)
	h.keeper = bills.NewRecorder(w.common(h.name), w.table, w, func() *controlstate.Snapshot { return w.snapshot(h) })
}

func (w *billWorld) snapshot(self *billHost) *controlstate.Snapshot {
	s := &controlstate.Snapshot{Self: self.name, DataCentre: "dc-0", Document: &tables.Document{Hosts: map[string]tables.Host{}}}
	for i, h := range w.hosts {
		s.Document.Hosts[h.name] = tables.Host{PeerAddress: h.name, DataCentre: fmt.Sprintf("dc-%d", i%2)}
		if h != self {
			s.LivePeers = append(s.LivePeers, h.name)
		}
	}
	return s
}

func (w *billWorld) find(address string) *billHost {
	for _, h := range w.hosts {
		if h.name == address {
			return h
		}
	}
	return nil
}

// HoldBills carries records to another daemon, unless it is cut off or frozen.
func (w *billWorld) HoldBills(_ context.Context, address string, records []billing.Record) bool {
	w.pause()
	h := w.find(address)
	if w.cut[address] || h.frozen || !h.keeper.Hold(records) {
		return false
	}
	for _, r := range records {
		h.has[r.ID] = true
	}
	w.pause()
	return true
}

// ReleaseBills reaches the holder unless it is cut off.
func (w *billWorld) ReleaseBills(_ context.Context, address string, ids []string) {
	if h := w.find(address); !w.cut[address] && !h.frozen {
		h.keeper.Release(ids)
	}
}

func (w *billWorld) request(h *billHost) {
	w.requests++
	id := fmt.Sprintf("request-%d", w.requests)
	keeper, has := h.keeper, h.has
	w.spawn(&h.host, func() {
		has[id] = true
		err := keeper.Record(context.Background(), billing.Record{ID: id, Account: "smiths", Tokens: 1})
		w.delivered[id] = true
		w.alone[id] = err != nil
	})
}

func (w *billWorld) written(id string) bool {
	_, err := w.table.Memory.Get(context.Background(), bills.Table, id)
	return err == nil
}

// mayKill keeps to single losses: a delivered, unwritten record may lose one
// copy, whichever; it loses another only while a third one is left. A record
// that was known to be kept by one daemon alone loses none.
func (w *billWorld) mayKill(victim *billHost) bool {
	for id := range w.delivered {
		if w.written(id) || !victim.has[id] || w.copiesBeside(victim, id) > 0 {
			continue
		}
		if w.alone[id] || w.losses[id] > 0 {
			return false
		}
	}
	for id := range victim.has {
		w.losses[id]++
	}
	return true
}

func (w *billWorld) copiesBeside(victim *billHost, id string) int {
	copies := 0
	for _, h := range w.hosts {
		if h != victim && h.has[id] {
			copies++
		}
	}
	return copies
}

func (w *billWorld) flush(h *billHost) {
	keeper := h.keeper
	w.spawn(&h.host, func() { _, _ = keeper.Flush(context.Background()) })
}

// TestEachDeliveredRequestIsBilledOnce kills daemons one after another while
// the table service fails in every way: P4.
func TestEachDeliveredRequestIsBilledOnce(t *testing.T) {
	delivered, alone, kills := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newBillWorld(t)
		draw := func() *billHost { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
		steps := func(t *rapid.T) {
			for range rapid.IntRange(1, 10).Draw(t, "steps") {
				w.step(rapid.IntRange(0, 9).Draw(t, "task"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request":    func(*rapid.T) { w.request(draw()) },
			"request_on": func(*rapid.T) { w.request(draw()) },
			"steps":      steps,
			"steps_on":   steps,
			"flush":      func(*rapid.T) { w.flush(draw()) },
			"fate":       func(t *rapid.T) { w.drawFate(t) },
			"late":       func(t *rapid.T) { w.table.ApplyDelayed(t.Context()) },
			"down":       func(*rapid.T) { w.down = !w.down },
			"cut":        func(*rapid.T) { h := draw(); w.cut[h.name] = !w.cut[h.name] },
			"freeze":     func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill": func(*rapid.T) {
				if h := draw(); w.mayKill(h) {
					kills++
					w.kill(&h.host)
					w.start(h)
				}
			},
			"time": func(t *rapid.T) { w.clock.Advance(clock.Millis(rapid.IntRange(100, 9000).Draw(t, "ms"))) },
		})
		w.settle()
		for id := range w.delivered {
			if !w.written(id) {
				t.Fatalf("%s was delivered and never billed", id)
			}
			delivered++
			if w.alone[id] {
				alone++
			}
		}
	})
	t.Logf("delivered %d requests, %d of them with one copy at first; %d daemons killed", delivered, alone, kills)
	assert.Assert(t, delivered > 0 && kills > 0)
}

// settle heals everything and waits longer than the holders do.
func (w *billWorld) settle() {
	clear(w.cut)
	var hosts []*host
	for _, h := range w.hosts {
		hosts = append(hosts, &h.host)
	}
	w.finish(hosts)
	w.clock.Advance(60_000)
	for range 3 {
		for _, h := range w.hosts {
			w.flush(h)
		}
		w.finish(hosts)
	}
	for _, h := range w.hosts {
		if own, held := h.keeper.Counts(); own+held > 0 {
			w.t.Fatalf("%s still has %d+%d records", h.name, own, held)
		}
	}
}
