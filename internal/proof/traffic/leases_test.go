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
	leaseDurationMs = 1_000
	orderLifetimeMs = 300
)

// leaseHost is a host whose daemon contends for the lease and issues orders while it holds
// it.
type leaseHost struct {
	host
	contender  *lease.Contender
	contending bool // a round is in progress; a daemon runs one round at a time
}

// order is an order on its way to a backend server that does not check fencing numbers.
type order struct {
	fencing   int64
	arrivesAt clock.Millis
}

// leaseCluster is a set of contenders with an oracle of the holders and of the orders.
type leaseCluster struct {
	*scheduler
	t              *rapid.T
	hosts          []*leaseHost
	orders         []order // on their way
	highestFencing int64   // of the orders that arrived
	ordersIssued   int
	holders        map[string]bool // hosts that have held the lease
}

// start starts a daemon on the host. It does not hold the lease.
func (c *leaseCluster) start(h *leaseHost) {
	h.contender = lease.NewContender(h.name, uint64(h.incarnation+1), leaseDurationMs)
}

// contend spawns one round: it reads the lease row and writes it if the contender returns a
// write.
func (c *leaseCluster) contend(h *leaseHost) {
	if h.contending {
		return
	}
	contender := h.contender
	h.contending = true
	c.spawn(&h.host, func() {
		defer func() { h.contending = false }()
		var row lease.Row
		version := int64(0)
		stored, err := c.table.Get(context.Background(), "leases", "driver")
		if err != nil && err != tableservice.ErrNotFound { //nolint:errorlint // The identical value.
			return
		}
		if err == nil {
			version = stored.Version
			if json.Unmarshal(stored.Value, &row) != nil {
				return
			}
		}
		contender.Observe(row, version, c.clock.Now())
		leaseWrite, ok := contender.Next(c.clock.Now())
		if !ok {
			return
		}
		condition := tableservice.IfVersion
		if leaseWrite.ReplacesVersion == 0 {
			condition = tableservice.IfAbsent
		}
		write, err := tableservice.NewWrite("leases", "driver", leaseWrite.Row, condition, leaseWrite.ReplacesVersion)
		if err != nil {
			return
		}
		results, err := c.table.Commit(context.Background(), tableservice.Batch{Writes: []tableservice.Write{write}})
		if err == nil && results[0].Applied {
			contender.Applied(leaseWrite, results[0].Row.Version)
		}
	})
}

// release gives up the lease, as in a graceful shutdown of the holder. Its orders may not
// have arrived yet.
func (c *leaseCluster) release(h *leaseHost) {
	leaseWrite, ok := h.contender.Release(c.clock.Now())
	if h.frozen || !ok {
		return
	}
	write, err := tableservice.NewWrite("leases", "driver", leaseWrite.Row, tableservice.IfVersion, leaseWrite.ReplacesVersion)
	assert.NilError(c.t, err)
	_, err = c.table.Memory.Commit(context.Background(), tableservice.Batch{Writes: []tableservice.Write{write}})
	assert.NilError(c.t, err)
}

// issueOrder sends an order to a server that does not check fencing numbers, if the
// contender allows it. The order arrives after delayMs.
func (c *leaseCluster) issueOrder(h *leaseHost, delayMs int) {
	if h.frozen || !h.contender.CanIssueOrder(c.clock.Now(), orderLifetimeMs, false) {
		return
	}
	c.ordersIssued++
	c.orders = append(c.orders, order{h.contender.Fencing(), c.clock.Now() + clock.Millis(delayMs)})
}

// advance advances the clock in steps of 10 ms and checks the invariants at each step.
func (c *leaseCluster) advance(duration clock.Millis) {
	for end := c.clock.Now() + duration; c.clock.Now() < end; {
		c.clock.Advance(10)
		c.check()
	}
}

// check delivers the orders that are due. At most one daemon may hold the lease, and an
// order must not arrive after one of a later holder.
func (c *leaseCluster) check() {
	now := c.clock.Now()
	holding := 0
	for _, h := range c.hosts {
		if h.contender.Held(now) {
			holding++
			c.holders[h.name] = true
		}
	}
	if holding > 1 {
		c.t.Fatalf("%d daemons hold the lease", holding)
	}
	var remaining []order
	for _, o := range c.orders {
		if o.arrivesAt > now {
			remaining = append(remaining, o)
			continue
		}
		if o.fencing < c.highestFencing {
			c.t.Fatalf("an order with fencing number %d arrived after one with %d", o.fencing, c.highestFencing)
		}
		c.highestFencing = max(c.highestFencing, o.fencing)
	}
	c.orders = remaining
}

// TestOneHolderAndNoLateOrders guards against two daemons that hold the lease at the same
// time, and against an order that arrives after one of a later holder. Holders are frozen
// past the end of their lease, responses of the table service are lost and daemons are
// killed.
func TestOneHolderAndNoLateOrders(t *testing.T) {
	ordersIssued, holderChanges := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := &leaseCluster{scheduler: newScheduler(), t: t, holders: map[string]bool{}}
		for i := range 3 {
			h := &leaseHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
			c.hosts = append(c.hosts, h)
			c.start(h)
		}
		draw := func() *leaseHost { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
		contend := func(t *rapid.T) {
			c.contend(draw())
			for range rapid.IntRange(1, 6).Draw(t, "steps") {
				c.step(rapid.IntRange(0, 9).Draw(t, "task"))
			}
		}
		// An action that is listed several times is drawn more often.
		t.Repeat(map[string]func(*rapid.T){
			"contend":   contend,
			"contend_2": contend,
			"contend_3": contend,
			"order":     func(t *rapid.T) { c.issueOrder(draw(), rapid.IntRange(1, orderLifetimeMs).Draw(t, "delay ms")) },
			"order_all": func(t *rapid.T) {
				for _, h := range c.hosts {
					c.issueOrder(h, orderLifetimeMs)
				}
			},
			"release":    func(*rapid.T) { c.release(draw()) },
			"step":       func(t *rapid.T) { c.step(rapid.IntRange(0, 9).Draw(t, "task")) },
			"fail_call":  func(t *rapid.T) { c.drawCallOutcome(t) },
			"late_write": func(t *rapid.T) { c.table.ApplyDelayed(t.Context()) },
			"down":       func(*rapid.T) { c.tableDown = !c.tableDown },
			"freeze":     func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill":       func(*rapid.T) { h := draw(); c.kill(&h.host); c.start(h) },
			"time":       func(t *rapid.T) { c.advance(clock.Millis(rapid.IntRange(10, 400).Draw(t, "ms"))) },
			"time_long":  func(t *rapid.T) { c.advance(clock.Millis(rapid.IntRange(100, 1500).Draw(t, "ms"))) },
		})
		ordersIssued += c.ordersIssued
		holderChanges += max(len(c.holders)-1, 0)
	})
	t.Logf("issued %d orders; the lease changed hands %d times", ordersIssued, holderChanges)
	assert.Assert(t, ordersIssued > 0 && holderChanges > 0)
}
