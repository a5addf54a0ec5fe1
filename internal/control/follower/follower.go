// Package follower keeps a sink up to date with one table of the row store.
package follower

import (
	"context"
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// callMargin is how much longer than its wait for changes a call may take. The store
	// may make it wait for its turn as a probe, which limits its own calls further.
	callMargin = 1_500 * clock.Millis(1)
	// listTimeout bounds one read of the complete table.
	listTimeout = 3_000 * clock.Millis(1)
	// The delay after a failed call doubles from the minimum to the maximum. Changes must
	// be applied about a second after the end of a store outage; package peerfeed spares
	// a failing store.
	minRetryDelay = 100 * clock.Millis(1)
	maxRetryDelay = 200 * clock.Millis(1)
)

// Sink receives the contents of a table. A Follower calls it from one goroutine.
type Sink interface {
	// Replace replaces all rows of the table.
	Replace(table string, page rowstore.Page)
	// Update applies changed rows. The page may have none.
	Update(table string, page rowstore.Page)
	// SetAvailable reports whether the last call for the table succeeded.
	SetAvailable(table string, available bool)
}

// Follower reads the complete table once and then polls for changes.
type Follower struct {
	log   hclog.Logger
	store rowstore.Store
	sink  Sink
	table string
	// batchDelay is the pause after a response with changes. Changes often come in
	// groups, and the store bills every call.
	batchDelay clock.Millis
	// wait is how long a call waits for changes. It is bounded because a call can
	// remain unanswered on a connection that looks healthy.
	wait clock.Millis
}

// New returns a follower of the table that pauses for batchDelay after changes and
// whose calls wait for changes for at most wait.
func New(log hclog.Logger, store rowstore.Store, sink Sink, table string, batchDelay, wait clock.Millis) *Follower {
	return &Follower{log: log, store: store, sink: sink, table: table, batchDelay: batchDelay, wait: wait}
}

// Run updates the sink until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	position, loaded, available := rowstore.Position{}, false, true
	for ctx.Err() == nil {
		// The first call after a failure does not wait for changes: this separates the
		// changes made during the outage from later ones.
		wait := f.wait
		if !available {
			wait = 0
		}
		page, err := f.read(ctx, loaded, position, wait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, rowstore.ErrCompacted) {
			f.log.Info("store compacted its changes; reading the complete table", "table", f.table, "after", position.Version)
			loaded = false
			continue
		}
		if loaded && errors.Is(err, rowstore.ErrEpochChanged) {
			f.log.Info("store epoch changed; reading the complete table", "table", f.table, "after", position.Version, "epoch", position.Epoch)
			loaded = false
			continue
		}
		if err == nil && page.Epoch < position.Epoch {
			// A late response: the table is already known as of a later epoch.
			err = rowstore.ErrEpochChanged
		}
		if (err == nil) != available {
			available = err == nil
			f.logAvailability(available, err, position.Version)
		}
		f.sink.SetAvailable(f.table, available)
		if err != nil {
			clock.Sleep(ctx, retryDelay/2+rand.N(retryDelay/2))
			retryDelay = min(retryDelay*2, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		changed := len(page.Rows) > 0 || !loaded
		if loaded {
			f.sink.Update(f.table, page)
		} else {
			f.sink.Replace(f.table, page)
		}
		loaded, position = true, laterOf(position, page.Position)
		if changed && !page.FromPeer {
			clock.Sleep(ctx, f.batchDelay)
		}
	}
}

func (f *Follower) logAvailability(available bool, err error, version int64) {
	if available {
		f.log.Info("store available again", "table", f.table, "after", version)
		return
	}
	f.log.Warn("store unavailable", "table", f.table, "after", version, "error", err.Error())
}

// laterOf returns the later position. A list or a leader can return a page of an earlier
// version of the same epoch.
func laterOf(p, q rowstore.Position) rowstore.Position {
	if p.Compare(q) > 0 {
		return p
	}
	return q
}

// read lists the table, or waits for changes after the position if it is loaded.
func (f *Follower) read(ctx context.Context, loaded bool, after rowstore.Position, wait clock.Millis) (rowstore.Page, error) {
	timeout := listTimeout
	if loaded {
		timeout = wait + callMargin
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	if !loaded {
		return f.store.List(callCtx, f.table)
	}
	return f.store.Changes(callCtx, f.table, after, wait)
}
