// Package rowstore defines the interface to a store of versioned rows that reports
// changes.
package rowstore

import (
	"cmp"
	"context"
	"hash/maphash"
	"strings"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Row is the state of a row at some version of the store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version int64 // version of the store at the last write of the row
	Epoch   int64 // in which the row was read
	Deleted bool
	// Superseded means that the store has returned from a copy and shows an older state
	// of the row than was in force, or with Deleted, lacks the row.
	Superseded bool
}

// State identifies the contents of a row. The value counts because a version that is given
// out again may belong to another value.
type State struct {
	Version   int64
	valueHash uint64
}

var hashSeed = maphash.MakeSeed()

// State returns the state of the row, within this process.
func (r Row) State() State {
	return State{Version: r.Version, valueHash: maphash.Bytes(hashSeed, r.Value)}
}

// Suffixes returns what follows the prefix in the keys that have it.
func Suffixes(rows []Row, prefix string) map[string]bool {
	suffixes := make(map[string]bool)
	for _, r := range rows {
		if suffix, ok := strings.CutPrefix(r.Key, prefix); ok {
			suffixes[suffix] = true
		}
	}
	return suffixes
}

// Position is a version of the store. Versions of different epochs can't be compared: a
// store that returns from an older copy starts a new epoch and gives out the versions
// after the copy again.
type Position struct {
	Epoch   int64 // rises with each return from a copy; 0 if the store does not tell
	Version int64
}

// Compare orders positions by epoch and version. It returns a negative number if p is
// before q, and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Version, q.Version))
}

// Page is the result of a read.
type Page struct {
	Rows      []Row
	Position               // of the store; the rows include all changes up to it
	StoreTime clock.Millis // monotonic clock of the store at the time of the read
	FromPeer  bool         // received from another daemon, without a call to the store
	// StoreFailedAt is when this daemon's last failed call to the store began; 0: none
	// failed. The store has been back since then or later.
	StoreFailedAt clock.Millis
}

// Write sets or removes one row.
type Write struct {
	Table           string
	Key             string
	Value           []byte
	ExpectedVersion int64 // that the row must have; 0 if it must not exist
	ExpectedEpoch   int64 // in which ExpectedVersion was read
	Unconditional   bool  // ignore ExpectedVersion
	Remove          bool  // remove the row; Value is ignored
}

// Store is a store of versioned rows. Implementations are safe for concurrent use.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (Page, error)
	// Changes waits for up to wait for rows of the table that changed after the position,
	// and returns them in order. It returns ErrCompacted if the store no longer has the
	// changes since that version, and ErrEpochChanged if the position is of another epoch
	// of the store; the caller must then call List. A page of a later epoch has all
	// differences between the position and the page.
	Changes(ctx context.Context, table string, after Position, wait clock.Millis) (Page, error)
	// Commit applies all writes or none, and returns the position of the store. It returns
	// ErrConflict if a row did not have the expected version or that version is of an
	// earlier epoch, ErrUnavailable if nothing was written, and ErrOutcomeUnknown if the
	// writes may have been applied or may still be applied later.
	Commit(ctx context.Context, writes ...Write) (Position, error)
}

// Errors of a Store.
var (
	ErrCompacted      = errors.New("row store: changes since the version are compacted")
	ErrConflict       = errors.New("row store: version conflict")
	ErrUnavailable    = errors.New("row store: unavailable")
	ErrOutcomeUnknown = errors.New("row store: outcome unknown")
	// ErrEpochChanged means that the store has returned from an older copy: the response
	// does not continue from the requested position, or is of an earlier epoch.
	ErrEpochChanged = errors.New("row store: epoch changed")
)
