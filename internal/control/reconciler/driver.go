// Package reconciler does the work that one daemon does for all, under a lease in
// the table service: it withdraws versions that proved bad, widens canaries and
// orders engines to hold what the pools table says.
package reconciler

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/eventloop"
	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/lease"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// The lease that the driver works under.
const (
	LeasesTable = "leases"
	LeaseName   = "driver"
)

// rounds is how often the lease is renewed within its life.
const rounds = 4

// Reconciler is one daemon's candidate for the lease.
type Reconciler struct {
	common  *common.Common
	table   tableservice.Table
	loop    *eventloop.Loop
	editor  *operator.Editor
	quality *quality.Tracker
	orders  *ModelLoader

	mu     sync.Mutex
	keeper *lease.Contender
}

// New returns a driver that holds nothing.
func New(c *common.Common, incarnation uint64, table tableservice.Table, l *eventloop.Loop, e *operator.Editor, q *quality.Tracker, o *ModelLoader) *Reconciler {
	life := clock.Millis(c.Settings.Control.LeaseMs)
	return &Reconciler{
		common:  c,
		table:   table,
		loop:    l,
		editor:  e,
		quality: q,
		orders:  o,
		keeper:  lease.NewContender(c.Settings.Host, incarnation, life),
	}
}

// HeldLeases lists the leases that this daemon holds now.
func (d *Reconciler) HeldLeases() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.keeper.Held(d.common.Clock.Now()) {
		return nil
	}
	return []string{fmt.Sprintf("%s (fencing %d)", LeaseName, d.keeper.Fencing())}
}

// Run bids for the lease and does the work while it is held, until the context ends.
func (d *Reconciler) Run(ctx context.Context) {
	clock.Every(ctx, clock.Millis(d.common.Settings.Control.LeaseMs/rounds), func() {
		if err := d.renew(ctx); err != nil {
			d.common.Log.Debug("lease", "error", err)
		}
		if d.held() {
			d.work(ctx)
		}
	})
}

func (d *Reconciler) held() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keeper.Held(d.common.Clock.Now())
}

// renew reads the lease's row, then writes it where the keeper says so.
func (d *Reconciler) renew(ctx context.Context) error {
	row, version, err := d.read(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	now := d.common.Clock.Now()
	d.keeper.Observe(row, version, now)
	bid, ok := d.keeper.Next(now)
	d.mu.Unlock()
	if !ok {
		return nil
	}
	return d.write(ctx, bid)
}

func (d *Reconciler) read(ctx context.Context) (lease.Row, int64, error) {
	var row lease.Row
	stored, err := d.table.Get(ctx, LeasesTable, LeaseName)
	if errors.Is(err, tableservice.ErrNotFound) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, err
	}
	return row, stored.Version, errors.Wrap(json.Unmarshal(stored.Value, &row), "decode lease")
}

func (d *Reconciler) write(ctx context.Context, bid lease.Write) error {
	condition := tableservice.IfVersion
	if bid.ReplacesVersion == 0 {
		condition = tableservice.IfAbsent
	}
	w, err := tableservice.NewWrite(LeasesTable, LeaseName, bid.Row, condition, bid.ReplacesVersion)
	if err != nil {
		return err
	}
	applied, err := d.table.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if applied[0].Applied {
		d.keeper.Applied(bid, applied[0].Row.Version)
	}
	return nil
}

// ReleaseLease gives the lease up at a shutdown, so that another daemon need not
// wait it out.
func (d *Reconciler) ReleaseLease(ctx context.Context) {
	d.mu.Lock()
	bid, ok := d.keeper.Release(d.common.Clock.Now())
	d.mu.Unlock()
	if ok {
		// Where this fails, the lease lapses.
		_ = d.write(ctx, bid)
	}
}

func (d *Reconciler) mayOrder(life clock.Millis, checksFencing bool) (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keeper.Fencing(), d.keeper.CanIssueOrder(d.common.Clock.Now(), life, checksFencing)
}
