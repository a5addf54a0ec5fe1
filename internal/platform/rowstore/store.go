// Package rowstore defines the interface to a store of versioned rows that reports
// changes.
package rowstore

import (
	"context"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Row is the state of a row at some version of the store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version int64 // version of the store at the last write of the row
	Deleted bool
}

// Page is the result of a read.
type Page struct {
	Rows      []Row
	Version   int64        // of the store; the rows include all changes up to it
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
	Unconditional   bool  // ignore ExpectedVersion
	Remove          bool  // remove the row; Value is ignored
}

// Store is a store of versioned rows. Implementations are safe for concurrent use.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (Page, error)
	// Changes waits for up to wait for rows of the table that changed after the version,
	// and returns them in order. It returns ErrCompacted if the store no longer has the
	// changes since that version; the caller must then call List.
	Changes(ctx context.Context, table string, after int64, wait clock.Millis) (Page, error)
	// Commit applies all writes or none, and returns the version of the store. It returns
	// ErrConflict if a row did not have the expected version, ErrUnavailable if nothing
	// was written, and ErrOutcomeUnknown if the writes may have been applied or may still
	// be applied later.
	Commit(ctx context.Context, writes ...Write) (int64, error)
}

// Errors of a Store.
var (
	ErrCompacted      = errors.New("row store: changes since the version are compacted")
	ErrConflict       = errors.New("row store: version conflict")
	ErrUnavailable    = errors.New("row store: unavailable")
	ErrOutcomeUnknown = errors.New("row store: outcome unknown")
)
