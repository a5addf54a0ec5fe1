// Package restore keeps in force what a daemon knows when the row store returns from an
// older copy. Until the operator, the backend servers and the daemons have written again
// what was lost, the store shows an older state of some rows and lacks others.
package restore

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// holdTime is how long a row that the copy lacks stays in force without being written
	// again.
	holdTime = 30_000 * clock.Millis(1)
	// pastTime is how long a replaced or deleted state of a row is remembered. It exceeds
	// the age of a copy.
	pastTime = 60_000 * clock.Millis(1)
	// maxPast bounds the remembered states of one row.
	maxPast = 8
)

// pastState is a state of a row that was replaced or deleted.
type pastState struct {
	rowstore.State
	endedAt clock.Millis
}

// entry is what is known of one row.
type entry struct {
	current   rowstore.State // the newest known state, or the last one if the row is deleted
	deleted   bool
	past      []pastState    // oldest first
	shown     rowstore.State // older state that the store shows instead; zero if none
	heldUntil clock.Millis   // 0 unless the store lacks the row
}

// Ledger compares the pages of one table with what is known of its rows. Not safe for
// concurrent use.
type Ledger struct {
	loaded    bool
	epoch     int64
	entries   map[string]*entry // by key
	nextPrune clock.Millis
}

// NewLedger returns a ledger of a table that has not been read yet.
func NewLedger() *Ledger { return &Ledger{entries: make(map[string]*entry)} }

// Result is a page as it may be applied.
type Result struct {
	Page    rowstore.Page
	Risen   bool // the page starts an epoch of the store
	Lost    int  // rows that the store lacks or shows in an older state, in this page
	Expired int  // rows that were not written again within holdTime
}

// Apply returns the page's rows and the removals that follow from it. A complete page
// has all rows of the table. Rows that the store shows in an older state, and rows that
// it lacks since its return from a copy, are marked as superseded.
func (l *Ledger) Apply(page rowstore.Page, complete bool, now clock.Millis) Result {
	result := Result{Risen: l.loaded && page.Epoch > l.epoch}
	rows := make([]rowstore.Row, 0, len(page.Rows))
	seen := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		seen[row.Key] = true
		if l.loaded && row.Epoch > l.epoch {
			row = l.compare(row, now)
		} else {
			row = l.record(row, now)
		}
		if row.Superseded {
			result.Lost++
		}
		rows = append(rows, row)
	}
	if complete && l.loaded {
		missing := l.missing(page.Position, seen, result.Risen, now)
		if result.Risen {
			result.Lost += len(missing)
		}
		rows = append(rows, missing...)
	}
	expired := l.expire(page.Position, now)
	result.Expired = len(expired)
	l.loaded, l.epoch = true, max(l.epoch, page.Epoch)
	l.prune(now)
	result.Page = page
	result.Page.Rows = slices.Concat(rows, expired)
	return result
}

func (l *Ledger) entry(key string) (e *entry, known bool) {
	e, known = l.entries[key]
	if !known {
		e = &entry{}
		l.entries[key] = e
	}
	return e, known
}

// record notes a write in the current epoch, or the state that the store already showed
// before.
func (l *Ledger) record(row rowstore.Row, now clock.Millis) rowstore.Row {
	state := row.State()
	e, known := l.entry(row.Key)
	if !row.Deleted && e.shown == state && e.shown != (rowstore.State{}) {
		row.Superseded = true
		return row
	}
	// A state that gives way to one of a lower version was lost and not replaced.
	if known && !e.deleted && (row.Deleted || row.Version > e.current.Version) {
		e.past = append(e.past, pastState{e.current, now})
		e.past = e.past[max(len(e.past)-maxPast, 0):]
	}
	e.deleted, e.shown, e.heldUntil = row.Deleted, rowstore.State{}, 0
	if !row.Deleted {
		e.current = state
	}
	return row
}

// compare notes a row of a later epoch. A state that was replaced or deleted before does
// not come into force again; every other one was written after the return.
func (l *Ledger) compare(row rowstore.Row, now clock.Millis) rowstore.Row {
	e, known := l.entries[row.Key]
	if !known {
		return l.record(row, now)
	}
	if row.Deleted {
		if !e.deleted {
			l.hold(e, now)
			row.Superseded = true
		}
		return row
	}
	state := row.State()
	if slices.ContainsFunc(e.past, func(p pastState) bool { return p.State == state }) {
		e.shown, e.heldUntil = state, 0
		row.Superseded = true
		return row
	}
	return l.record(row, now)
}

func (l *Ledger) hold(e *entry, now clock.Millis) {
	e.shown = rowstore.State{}
	if e.heldUntil == 0 {
		e.heldUntil = now + holdTime
	}
}

// missing returns the removals of known rows that a complete page lacks. At the start of
// an epoch they are marked as superseded.
func (l *Ledger) missing(p rowstore.Position, seen map[string]bool, risen bool, now clock.Millis) []rowstore.Row {
	var rows []rowstore.Row
	for _, key := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[key]
		if seen[key] || e.deleted || (!risen && e.heldUntil > 0) {
			continue
		}
		row := rowstore.Row{Key: key, Version: p.Version, Epoch: p.Epoch, Deleted: true}
		if risen {
			l.hold(e, now)
			row.Superseded = true
		} else {
			l.record(row, now)
		}
		rows = append(rows, row)
	}
	return rows
}

// expire returns the removals of rows that were not written again within holdTime.
func (l *Ledger) expire(p rowstore.Position, now clock.Millis) []rowstore.Row {
	var rows []rowstore.Row
	for _, key := range slices.Sorted(maps.Keys(l.entries)) {
		if e := l.entries[key]; e.heldUntil > 0 && now >= e.heldUntil {
			row := rowstore.Row{Key: key, Version: p.Version, Epoch: p.Epoch, Deleted: true}
			l.record(row, now)
			rows = append(rows, row)
		}
	}
	return rows
}

// prune forgets states that ended more than pastTime ago.
func (l *Ledger) prune(now clock.Millis) {
	if now < l.nextPrune {
		return
	}
	l.nextPrune = now + pastTime/4
	for key, e := range l.entries {
		e.past = slices.DeleteFunc(e.past, func(p pastState) bool { return now-p.endedAt > pastTime })
		if e.deleted && len(e.past) == 0 && e.shown == (rowstore.State{}) {
			delete(l.entries, key)
		}
	}
}
