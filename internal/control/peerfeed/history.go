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
	floor       rowstore.Position // rows holds all changes after it
	position    rowstore.Position // up to which the history is complete
	base        rowstore.Position // first one known in the epoch of position
	previous    rowstore.Position // last one known in the epoch before that
	rows        []rowstore.Row
	size        int                       // of rows, in bytes
	keys        map[string]rowstore.State // of the rows that the table holds
	storeTime   clock.Millis              // the store's clock at confirmedAt
	confirmedAt clock.Millis              // when the store last confirmed version
	updated     chan struct{}             // closed and replaced when rows or a confirmation arrive
}

func newHistory() *history {
	return &history{keys: make(map[string]rowstore.State), updated: make(chan struct{})}
}

// positionOf returns the position at which the row was written, or for a difference
// between two epochs, a position in the later one.
func positionOf(r rowstore.Row) rowstore.Position {
	return rowstore.Position{Epoch: r.Epoch, Version: r.Version}
}

// reset discards the rows and starts a new history at the position.
func (h *history) reset(p rowstore.Position) {
	h.loaded, h.floor, h.position, h.base = true, p, p, p
	h.rows, h.size = nil, 0
}

// startEpoch prepares for rows of a later epoch. The rows of the epoch before it are kept
// for daemons that have not noticed yet.
func (h *history) startEpoch(p rowstore.Position) {
	if h.floor.Epoch < h.position.Epoch {
		h.floor = h.base
		h.rows = slices.DeleteFunc(h.rows, func(r rowstore.Row) bool { return r.Epoch < h.position.Epoch })
		h.size = 0
		for _, r := range h.rows {
			h.size += sizeOf(r)
		}
	}
	h.previous, h.base = h.position, p
}

// applyList records a complete read of the table. Differences from the known keys and
// versions become changes, so that after the store has compacted its history or has
// returned from an older copy, only this daemon has to read the complete table.
func (h *history) applyList(page rowstore.Page, now clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		h.reset(page.Position)
	}
	if page.Epoch < h.position.Epoch {
		return
	}
	risen := page.Epoch > h.position.Epoch
	if risen {
		h.startEpoch(page.Position)
	}
	removed := maps.Clone(h.keys)
	rows := slices.SortedFunc(slices.Values(page.Rows), func(a, b rowstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range rows {
		delete(removed, r.Key)
		if !risen || h.keys[r.Key] != r.State() {
			h.add(r)
		}
	}
	for key := range removed {
		h.add(rowstore.Row{Key: key, Version: page.Version, Epoch: page.Epoch, Deleted: true})
	}
	h.trim(page.Position)
	h.confirm(page, now, risen)
}

// applyChanges records the rows that changed after a position, as the store confirmed
// them at confirmedAt. A gap before them discards the earlier rows.
func (h *history) applyChanges(after rowstore.Position, page rowstore.Page, confirmedAt clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || after.Compare(h.position) > 0 {
		h.reset(after)
	}
	if page.Epoch < h.position.Epoch {
		return
	}
	risen := page.Epoch > h.position.Epoch
	if risen {
		h.startEpoch(page.Position)
	}
	for _, r := range page.Rows {
		h.add(r)
	}
	h.trim(page.Position)
	h.confirm(page, confirmedAt, risen)
}

// add appends a row if it is newer than the history.
func (h *history) add(r rowstore.Row) {
	if r.Deleted {
		delete(h.keys, r.Key)
	} else {
		h.keys[r.Key] = r.State()
	}
	if positionOf(r).Compare(h.position) > 0 {
		h.rows = append(h.rows, r)
		h.size += sizeOf(r)
	}
}

// trim raises the position, and discards the oldest rows above maxHistoryBytes.
func (h *history) trim(p rowstore.Position) {
	if p.Compare(h.position) > 0 {
		h.position = p
	}
	for h.size > maxHistoryBytes {
		h.size -= sizeOf(h.rows[0])
		h.floor = positionOf(h.rows[0])
		h.rows = h.rows[1:]
	}
}

// confirm records when the store confirmed the position, and wakes waiting requests. A page
// of an earlier position confirms the present one as well if its confirmation is newer: the
// version of a page without changes is the one that the call asked from.
func (h *history) confirm(page rowstore.Page, confirmedAt clock.Millis, risen bool) {
	fresher := confirmedAt >= h.confirmedAt
	if fresher {
		h.storeTime, h.confirmedAt = page.StoreTime, confirmedAt
	}
	if fresher || len(page.Rows) > 0 || risen {
		close(h.updated)
		h.updated = make(chan struct{})
	}
}

func sizeOf(r rowstore.Row) int { return len(r.Key) + len(r.Value) + rowOverheadBytes }

// rowOverheadBytes is the memory of a row without its key and value.
const rowOverheadBytes = 64

// age returns the time since the store confirmed the position.
func (h *history) age(now clock.Millis) clock.Millis {
	return now - h.confirmationTime()
}

// confirmationTime returns when the store last confirmed the position.
func (h *history) confirmationTime() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt
}

// continues reports whether the history has all changes after the position. A position of
// the current epoch must not be before its first known one: rows that were the same at
// the end of the epoch before may have been missing in between. One of the epoch before
// must not be after its last known one.
func (h *history) continues(after rowstore.Position) bool {
	if !h.loaded || after.Compare(h.floor) < 0 {
		return false
	}
	if after.Epoch == h.position.Epoch {
		return after.Compare(h.base) >= 0
	}
	return after.Epoch == h.previous.Epoch && after.Compare(h.previous) <= 0
}

// since returns the changes after the position, and a channel that is closed when more
// rows or a newer confirmation arrive. The response is Unavailable if the history does not
// continue from the position, or the store last confirmed it more than maxAge ago.
func (h *history) since(after rowstore.Position, now, maxAge clock.Millis) (ChangesResponse, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.continues(after) || now-h.confirmedAt > maxAge {
		return ChangesResponse{Unavailable: true}, h.updated
	}
	response := ChangesResponse{Version: h.position.Version, Epoch: h.position.Epoch, Age: now - h.confirmedAt, Now: h.storeTime + now - h.confirmedAt}
	for _, r := range h.rows {
		if positionOf(r).Compare(after) > 0 {
			response.Rows = append(response.Rows, encodeRow(r))
		}
	}
	return response, h.updated
}
