// Package rowstore is what the daemons need of a store of versioned rows with a
// feed of changes.
package rowstore

import (
	"context"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Row is one row as it stood at a version of the store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version int64 // of the store when the row was last written
	Deleted bool
}

// Page is the answer to a read: rows, and the version of the store that they
// are complete up to.
type Page struct {
	Rows      []Row
	Version   int64
	StoreTime clock.Millis // by the store's steady clock
	FromPeer  bool         // told by another daemon, which cost the store no call
}

// Write puts a value in place of a row of the given version; 0 means that the
// row must not exist.
type Write struct {
	Table           string
	Key             string
	Value           []byte
	ExpectedVersion int64
	Unconditional   bool // whatever the row's version
	Remove          bool
}

// Store is safe for concurrent use.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (Page, error)
	// Changes waits for rows of the table that changed after the version, at most
	// for the time given, and returns them in order. ErrCompacted means that the
	// store has forgotten what changed since.
	Changes(ctx context.Context, table string, after int64, wait clock.Millis) (Page, error)
	// Commit applies all writes or none, and returns the store's version.
	// ErrConflict means that a row had another version; ErrUnavailable that
	// nothing was written; ErrOutcomeUnknown that it may have been, or may be later.
	Commit(ctx context.Context, writes ...Write) (int64, error)
}

// The ways in which a call fails.
var (
	ErrCompacted      = errors.New("row store: the changes since that version are forgotten")
	ErrConflict       = errors.New("row store: a row has another version")
	ErrUnavailable    = errors.New("row store: unavailable")
	ErrOutcomeUnknown = errors.New("row store: outcome unknown")
)
