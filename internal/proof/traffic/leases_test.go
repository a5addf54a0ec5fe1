package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/lease"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

const (
	leaseLife = 1_000 // ms
	orderLife = 300
)

// leaseHost bids for the lease and gives orders while it holds it.
type leaseHost struct {
	host
	keeper  *lease.Contender
	bidding bool // a round is under way; a daemon's rounds follow one another
}

// order is one order on its way to an engine that ignores fencing numbers.
type order struct {
	fencing int64
	arrives clock.Millis
}

// leaseWorld is several bidders with an oracle of who held what when.
type leaseWorld struct {
	*scheduler
	t       *rapid.T
	hosts   []*leaseHost
	orders  []order
	highest int64 // fencing number of the newest order that arrived
	given   int
	holders map[string]bool
}

func (w *leaseWorld) start(h *leaseHost) {
	h.keeper = lease.NewContender(h.name, uint64(h.run+1), leaseLife)
}

// bid is one round: read the row, then write it where the keeper says so.
func (w *leaseWorld) bid(h *leaseHost) {
	if h.bidding {
		return
	}
	k := h.keeper
	h.bidding = true
	w.spawn(&h.host, func() {
		defer func() { h.bidding = false }()
		var row lease.Row
		version := int64(0)
		stored, err := w.table.Get(context.Background(), "leases", "driver")
		if err != nil && err != tableservice.ErrNotFound { //nolint:errorlint // This very value.
			return
		}
		if err == nil {
			version = stored.Version
			if json.Unmarshal(stored.Value, &row) != nil {
				return
			}
		}
		k.Observe(row, version, w.clock.Now())
		bid, ok := k.Next(w.clock.Now())
		if !ok {
			return
		}
		condition := tableservice.IfVersion
		if bid.ReplacesVersion == 0 {
			condition = tableservice.IfAbsent
		}
		write, err := tableservice.NewWrite("leases", "driver", bid.Row, condition, bid.ReplacesVersion)
		if err != nil {
			return
		}
		applied, err := w.table.Commit(context.Background(), tableservice.Batch{Writes: []tableservice.Write{write}})
		if err == nil && applied[0].Applied {
			k.Applied(bid, applied[0].Row.Version)
		}
	})
}

// release is a graceful stop of the holder; its orders may still be under way.
func (w *leaseWorld) release(h *leaseHost) {
	bid, ok := h.keeper.Release(w.clock.Now())
	if h.frozen || !ok {
		return
	}
	write, err := tableservice.NewWrite("leases", "driver", bid.Row, tableservice.IfVersion, bid.ReplacesVersion)
	assert.NilError(w.t, err)
	_, err = w.table.Memory.Commit(context.Background(), tableservice.Batch{Writes: []tableservice.Write{write}})
	assert.NilError(w.t, err)
}

// giveOrder sends an order to a server that ignores fencing numbers.
func (w *leaseWorld) giveOrder(h *leaseHost, takes int) {
	if h.frozen || !h.keeper.CanIssueOrder(w.clock.Now(), orderLife, false) {
		return
	}
	w.given++
	w.orders = append(w.orders, order{h.keeper.Fencing(), w.clock.Now() + clock.Millis(takes)})
}

func (w *leaseWorld) pass(d clock.Millis) {
	for end := w.clock.Now() + d; w.clock.Now() < end; {
		w.clock.Advance(10)
		w.check()
	}
}

func (w *leaseWorld) check() {
	now := w.clock.Now()
	held := 0
	for _, h := range w.hosts {
		if h.keeper.Held(now) {
			held++
			w.holders[h.name] = true
		}
	}
	if held > 1 {
		w.t.Fatalf("%d daemons hold the lease", held)
	}
	var rest []order
	for _, o := range w.orders {
		if o.arrives > now {
			rest = append(rest, o)
			continue
		}
		if o.fencing < w.highest {
			w.t.Fatalf("an order with fencing number %d arrived after one with %d", o.fencing, w.highest)
		}
		w.highest = max(w.highest, o.fencing)
	}
	w.orders = rest
}

// TestOneHolderAndNoLateOrders pauses holders, loses answers and kills: the
// lease that orders go out under.
func TestOneHolderAndNoLateOrders(t *testing.T) {
	given, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &leaseWorld{scheduler: newScheduler(), t: t, holders: map[string]bool{}}
		for i := range 3 {
			h := &leaseHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
			w.hosts = append(w.hosts, h)
			w.start(h)
		}
		draw := func() *leaseHost { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
		bids := func(t *rapid.T) {
			w.bid(draw())
			for range rapid.IntRange(1, 6).Draw(t, "steps") {
				w.step(rapid.IntRange(0, 9).Draw(t, "task"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"bid":      bids,
			"bid_on":   bids,
			"bid_more": bids,
			"order":    func(t *rapid.T) { w.giveOrder(draw(), rapid.IntRange(1, orderLife).Draw(t, "takes")) },
			"order_on": func(t *rapid.T) {
				for _, h := range w.hosts {
					w.giveOrder(h, orderLife)
				}
			},
			"release": func(*rapid.T) { w.release(draw()) },
			"step":    func(t *rapid.T) { w.step(rapid.IntRange(0, 9).Draw(t, "task")) },
			"fate":    func(t *rapid.T) { w.drawFate(t) },
			"late":    func(t *rapid.T) { w.table.ApplyDelayed(t.Context()) },
			"down":    func(*rapid.T) { w.down = !w.down },
			"freeze":  func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill":    func(*rapid.T) { h := draw(); w.kill(&h.host); w.start(h) },
			"time":    func(t *rapid.T) { w.pass(clock.Millis(rapid.IntRange(10, 400).Draw(t, "ms"))) },
			"time_on": func(t *rapid.T) { w.pass(clock.Millis(rapid.IntRange(100, 1500).Draw(t, "ms"))) },
		})
		given += w.given
		changes += max(len(w.holders)-1, 0)
	})
	t.Logf("gave %d orders; the lease changed hands %d times", given, changes)
	assert.Assert(t, given > 0 && changes > 0)
}
