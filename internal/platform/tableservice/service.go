package tableservice

import "context"

// Service is the interface of the table service. Implementations are safe for concurrent
// use.
type Service interface {
	// Get returns ErrNotFound if the row does not exist, and ErrUnavailable if it cannot
	// be read.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows with keys greater than after, in the order of the
	// keys, or ErrUnavailable.
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
	// Commit applies the batch and returns one result per write. It returns
	// ErrUnavailable if nothing was written, and ErrOutcomeUnknown if the batch may have
	// been applied.
	Commit(ctx context.Context, batch Batch) ([]WriteResult, error)
}
