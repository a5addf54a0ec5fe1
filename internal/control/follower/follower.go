// Package follower keeps up with one table of the row store.
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
	// answerLimit is how much longer than it waits for changes a call may take.
	answerLimit = 900 * clock.Millis(1)
	// listLimit bounds one reading of the whole table.
	listLimit = 3_000 * clock.Millis(1)
	// The pause after a failed call doubles between these. The store limits the
	// calls of all daemons together, and the configuration must be in force
	// about a second after the store is back.
	firstPause   = 100 * clock.Millis(1)
	longestPause = 600 * clock.Millis(1)
)

// Sink takes in what the table holds.
type Sink interface {
	// Replace brings the whole table.
	Replace(table string, page rowstore.Page)
	// Update brings rows that changed.
	Update(table string, page rowstore.Page)
	// SetAvailable says whether the last call for the table went well.
	SetAvailable(table string, well bool)
}

// Follower reads the table whole once, and from then on what changes.
type Follower struct {
	log   hclog.Logger
	store rowstore.Store
	sink  Sink
	table string
	// settle is how long changes are let gather after some came: each call is paid
	// for, and changes often come in groups.
	settle clock.Millis
	// wait is how long one call for changes is left open. A call may go silent for
	// good on a connection that seems sound, which only its time shows.
	wait clock.Millis
}

// New returns a follower of the table that lets changes gather for settle and
// leaves its calls open for wait.
func New(log hclog.Logger, store rowstore.Store, sink Sink, table string, settle, wait clock.Millis) *Follower {
	return &Follower{log: log, store: store, sink: sink, table: table, settle: settle, wait: wait}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	version, listed, well := int64(0), false, true
	for ctx.Err() == nil {
		// The first call after a failure doesn't wait for changes: what it brings
		// happened during the outage, and what comes later did not.
		wait := f.wait
		if !well {
			wait = 0
		}
		page, err := f.read(ctx, listed, version, wait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, rowstore.ErrCompacted) {
			f.log.Info("store forgot its changes; reading the table again", "table", f.table, "after", version)
			listed = false
			continue
		}
		if (err == nil) != well {
			well = err == nil
			f.logTurn(well, err, version)
		}
		f.sink.SetAvailable(f.table, well)
		if err != nil {
			clock.Sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(pause*2, longestPause)
			continue
		}
		pause = firstPause
		news := len(page.Rows) > 0 || !listed
		if listed {
			f.sink.Update(f.table, page)
		} else {
			f.sink.Replace(f.table, page)
		}
		listed, version = true, max(version, page.Version)
		if news && !page.Shared {
			clock.Sleep(ctx, f.settle)
		}
	}
}

func (f *Follower) logTurn(well bool, err error, version int64) {
	if well {
		f.log.Info("store regained", "table", f.table, "after", version)
		return
	}
	f.log.Warn("store lost", "table", f.table, "after", version, "error", err.Error())
}

func (f *Follower) read(ctx context.Context, listed bool, version int64, wait clock.Millis) (rowstore.Page, error) {
	limit := listLimit
	if listed {
		limit = wait + answerLimit
	}
	callCtx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	if !listed {
		return f.store.List(callCtx, f.table)
	}
	return f.store.Changes(callCtx, f.table, version, wait)
}
