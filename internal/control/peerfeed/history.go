package peerfeed

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// historyBytes bounds what is remembered of a table. Some hundred changes of
// servers fit; a configuration that doesn't is read from the store.
const historyBytes = 128 << 10

// history is what changed in one table lately. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	known   bool
	floor   int64 // the rows are all that changed after this version
	version int64 // up to which the table is known
	rows    []rowstore.Row
	bytes   int
	keys    map[string]bool // of the rows that the table holds
	now     clock.Millis    // the store's clock at the instant confirmed
	at      clock.Millis    // when the store last confirmed the version
	changed chan struct{}
}

func newHistory() *history {
	return &history{keys: make(map[string]bool), changed: make(chan struct{})}
}

// restart forgets the rows: the table was read whole, or there is a gap.
func (h *history) restart(version int64) {
	h.known, h.floor, h.version = true, version, version
	h.rows, h.bytes = nil, 0
}

// noteList takes in that the whole table was read. What differs from what was
// known is remembered as changes, so that other daemons needn't read the table
// too when the store forgets its history.
func (h *history) noteList(page rowstore.Page, now clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known {
		h.restart(page.Version)
	}
	gone := maps.Clone(h.keys)
	rows := slices.SortedFunc(slices.Values(page.Rows), func(a, b rowstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range rows {
		delete(gone, r.Key)
		h.add(r)
	}
	for key := range gone {
		h.add(rowstore.Row{Key: key, Version: page.Version, Deleted: true})
	}
	h.trim(page.Version)
	h.confirm(page, now)
}

// noteChanges takes in what changed after a version. The store confirmed it at
// the instant at.
func (h *history) noteChanges(after int64, page rowstore.Page, at clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || after > h.version {
		h.restart(after)
	}
	for _, r := range page.Rows {
		h.add(r)
	}
	h.trim(page.Version)
	h.confirm(page, at)
}

// add remembers a row that is newer than what was known.
func (h *history) add(r rowstore.Row) {
	if r.Deleted {
		delete(h.keys, r.Key)
	} else {
		h.keys[r.Key] = true
	}
	if r.Version > h.version {
		h.rows = append(h.rows, r)
		h.bytes += sizeOf(r)
	}
}

// trim raises the version and forgets the oldest rows that are too many.
func (h *history) trim(version int64) {
	h.version = max(h.version, version)
	for h.bytes > historyBytes {
		h.bytes -= sizeOf(h.rows[0])
		h.floor = h.rows[0].Version
		h.rows = h.rows[1:]
	}
}

// confirm wakes those that wait if there is anything new for them.
func (h *history) confirm(page rowstore.Page, at clock.Millis) {
	if at >= h.at {
		h.now, h.at = page.Now, at
	}
	if len(page.Rows) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

func sizeOf(r rowstore.Row) int { return len(r.Key) + len(r.Value) + rowOverhead }

// rowOverhead is what a row takes beside its key and value.
const rowOverhead = 64

// age returns how long ago the store confirmed the version.
func (h *history) age(now clock.Millis) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now - h.at
}

// since returns what changed after the version, and a channel that is closed
// when more has changed. The answer is useless where the store hasn't confirmed
// the table for longer than fresh.
func (h *history) since(after int64, now, fresh clock.Millis) (ChangesResponse, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || after < h.floor || now-h.at > fresh {
		return ChangesResponse{Unavailable: true}, h.changed
	}
	a := ChangesResponse{Version: h.version, Age: now - h.at, Now: h.now + now - h.at}
	for _, r := range h.rows {
		if r.Version > after {
			a.Rows = append(a.Rows, encodeRow(r))
		}
	}
	return a, h.changed
}
