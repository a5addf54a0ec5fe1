// Package reconciler does the work that only one daemon at a time does for all daemons,
// elected by a lease in the table service. It withdraws model versions that tripped, raises
// the shares of canaries, and makes engines load and unload model versions as the pools
// table says. It serves program/daemon; for roll-outs, program/entry has package
// rolloutcontrol.
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
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// The table and key of the lease in the table service.
const (
	LeasesTable = "leases"
	LeaseName   = "driver"
)

// renewalsPerLease is the number of renewals within the duration of the lease.
const renewalsPerLease = 4

// Reconciler contends for the lease on behalf of one daemon and does the work while it
// holds it. HeldLeases and ReleaseLease may be called while Run is running.
type Reconciler struct {
	common       *common.Common
	tableService tableservice.Service
	loop         *eventloop.Loop
	editor       editor
	quality      *quality.Tracker
	loader       *ModelLoader

	mu    sync.Mutex
	lease *lease.Contender
}

// editor commits edits of the document of tables. *operator.Editor implements it.
type editor interface {
	Edit(ctx context.Context, editID string, base int64, change operator.Change) (*tables.Document, error)
}

// New returns a reconciler that does not hold the lease.
func New(c *common.Common, incarnation uint64, tableService tableservice.Service, l *eventloop.Loop, e *operator.Editor, q *quality.Tracker, m *ModelLoader) *Reconciler {
	leaseDuration := clock.Millis(c.Settings.Control.LeaseMs)
	return &Reconciler{
		common:       c,
		tableService: tableService,
		loop:         l,
		editor:       e,
		quality:      q,
		loader:       m,
		lease:        lease.NewContender(c.Settings.Host, incarnation, leaseDuration),
	}
}

// HeldLeases describes the leases that this daemon holds, for the status report.
func (r *Reconciler) HeldLeases() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lease.Held(r.common.Clock.Now()) {
		return nil
	}
	return []string{fmt.Sprintf("%s (fencing %d)", LeaseName, r.lease.Fencing())}
}

// Run acquires and renews the lease, and reconciles while it is held, until the context
// ends. The lease is not released.
func (r *Reconciler) Run(ctx context.Context) {
	clock.Every(ctx, clock.Millis(r.common.Settings.Control.LeaseMs/renewalsPerLease), func() {
		if err := r.renew(ctx); err != nil {
			r.common.Log.Debug("lease", "error", err)
		}
		if r.held() {
			r.reconcile(ctx)
		}
	})
}

// reconcile does one round of the work. It does nothing while the configuration is not
// confirmed.
func (r *Reconciler) reconcile(ctx context.Context) {
	snapshot := r.loop.Snapshot()
	if !snapshot.Confirmed(r.common.Clock.Now()) {
		return
	}
	for name, inForce := range snapshot.Tripped {
		if inForce {
			r.withdraw(ctx, snapshot.Document, name)
		}
	}
	for model, m := range snapshot.Document.Models {
		r.raiseCanaryShares(ctx, model, m)
	}
	r.loader.Sync(ctx, snapshot, r.canIssueOrder)
}

func (r *Reconciler) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Held(r.common.Clock.Now())
}

// renew reads the row of the lease and, if it is free or held by this daemon, writes it to
// acquire or renew the lease.
func (r *Reconciler) renew(ctx context.Context) error {
	row, version, err := r.readLease(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	now := r.common.Clock.Now()
	r.lease.Observe(row, version, now)
	write, ok := r.lease.Next(now)
	r.mu.Unlock()
	if !ok {
		return nil
	}
	return r.writeLease(ctx, write)
}

func (r *Reconciler) readLease(ctx context.Context) (lease.Row, int64, error) {
	var row lease.Row
	stored, err := r.tableService.Get(ctx, LeasesTable, LeaseName)
	if errors.Is(err, tableservice.ErrNotFound) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, err
	}
	return row, stored.Version, errors.Wrap(json.Unmarshal(stored.Value, &row), "decode lease")
}

func (r *Reconciler) writeLease(ctx context.Context, write lease.Write) error {
	condition := tableservice.IfVersion
	if write.ReplacesVersion == 0 {
		condition = tableservice.IfAbsent
	}
	w, err := tableservice.NewWrite(LeasesTable, LeaseName, write.Row, condition, write.ReplacesVersion)
	if err != nil {
		return err
	}
	results, err := r.tableService.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if results[0].Applied {
		r.lease.Applied(write, results[0].Row.Version)
	}
	return nil
}

// ReleaseLease releases the lease at shutdown, so that another daemon need not wait until
// it expires. It does nothing if the lease is not held.
func (r *Reconciler) ReleaseLease(ctx context.Context) {
	r.mu.Lock()
	write, ok := r.lease.Release(r.common.Clock.Now())
	r.mu.Unlock()
	if ok {
		// If this fails, the lease expires on its own.
		_ = r.writeLease(ctx, write)
	}
}

// canIssueOrder is the orderCheck of the lease.
func (r *Reconciler) canIssueOrder(timeout clock.Millis, checksFencing bool) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Fencing(), r.lease.CanIssueOrder(r.common.Clock.Now(), timeout, checksFencing)
}
