package tableservice

import "context"

// Service is what the daemon needs of the table service.
type Service interface {
	// Get returns the row, or ErrNotFound, or ErrUnavailable.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows in the order of their keys, after the given key.
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
	// Commit applies the batch. ErrUnavailable means that nothing was written,
	// ErrOutcomeUnknown that the answer was lost.
	Commit(ctx context.Context, batch Batch) ([]WriteResult, error)
}
