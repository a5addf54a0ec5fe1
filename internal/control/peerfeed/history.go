package peerfeed

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// maxHistoryBytes bounds the history of one table. It is enough for a few hundred
// changes of servers; a configuration that exceeds it has to be read from the store.
const maxHistoryBytes = 128 << 10

// history holds the recent changes of one table. Safe for concurrent use.
type history struct {
	mu          sync.Mutex // guards the fields below
	loaded      bool
	floor       int64 // rows holds all changes after this version
	version     int64 // up to which the history is complete
	rows        []rowstore.Row
	size        int             // of rows, in bytes
	keys        map[string]bool // of the rows that the table holds
	storeTime   clock.Millis    // the store's clock at confirmedAt
	confirmedAt clock.Millis    // when the store last confirmed version
	changed     chan struct{}   // closed and replaced when rows arrive
}

func newHistory() *history {
	return &history{keys: make(map[string]bool), changed: make(chan struct{})}
}

// reset discards the rows and starts a new history at the version.
func (h *history) reset(version int64) {
	h.loaded, h.floor, h.version = true, version, version
	h.rows, h.size = nil, 0
}

// applyList records a complete read of the table. Differences from the known keys and
// versions become changes, so that after the store has compacted its history, only
// this daemon has to read the complete table.
func (h *history) applyList(page rowstore.Page, now clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		h.reset(page.Version)
	}
	removed := maps.Clone(h.keys)
	rows := slices.SortedFunc(slices.Values(page.Rows), func(a, b rowstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range rows {
		delete(removed, r.Key)
		h.add(r)
	}
	for key := range removed {
		h.add(rowstore.Row{Key: key, Version: page.Version, Deleted: true})
	}
	h.trim(page.Version)
	h.confirm(page, now)
}

// applyChanges records the rows that changed after a version, as the store confirmed
// them at confirmedAt. A gap before them discards the earlier rows.
func (h *history) applyChanges(after int64, page rowstore.Page, confirmedAt clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || after > h.version {
		h.reset(after)
	}
	for _, r := range page.Rows {
		h.add(r)
	}
	h.trim(page.Version)
	h.confirm(page, confirmedAt)
}

// add appends a row if it is newer than the history.
func (h *history) add(r rowstore.Row) {
	if r.Deleted {
		delete(h.keys, r.Key)
	} else {
		h.keys[r.Key] = true
	}
	if r.Version > h.version {
		h.rows = append(h.rows, r)
		h.size += sizeOf(r)
	}
}

// trim raises the version, and discards the oldest rows above maxHistoryBytes.
func (h *history) trim(version int64) {
	h.version = max(h.version, version)
	for h.size > maxHistoryBytes {
		h.size -= sizeOf(h.rows[0])
		h.floor = h.rows[0].Version
		h.rows = h.rows[1:]
	}
}

// confirm records when the store confirmed the version, and wakes waiting requests if
// the page has rows.
func (h *history) confirm(page rowstore.Page, confirmedAt clock.Millis) {
	if confirmedAt >= h.confirmedAt {
		h.storeTime, h.confirmedAt = page.StoreTime, confirmedAt
	}
	if len(page.Rows) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

func sizeOf(r rowstore.Row) int { return len(r.Key) + len(r.Value) + rowOverheadBytes }

// rowOverheadBytes is the memory of a row without its key and value.
const rowOverheadBytes = 64

// age returns the time since the store confirmed the version.
func (h *history) age(now clock.Millis) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now - h.confirmedAt
}

// since returns the changes after the version, and a channel that is closed when more
// rows arrive. The response is Unavailable if the history does not go back to the
// version, or the store last confirmed it more than maxAge ago.
func (h *history) since(after int64, now, maxAge clock.Millis) (ChangesResponse, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || after < h.floor || now-h.confirmedAt > maxAge {
		return ChangesResponse{Unavailable: true}, h.changed
	}
	response := ChangesResponse{Version: h.version, Age: now - h.confirmedAt, Now: h.storeTime + now - h.confirmedAt}
	for _, r := range h.rows {
		if r.Version > after {
			response.Rows = append(response.Rows, encodeRow(r))
		}
	}
	return response, h.changed
}
