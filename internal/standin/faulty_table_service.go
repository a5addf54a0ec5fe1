package standin

import (
	"context"

	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// CallOutcome is the outcome of one call to a FaultyTableService.
type CallOutcome int

// The outcomes of a call. Reads succeed or are rejected; the others apply to Commit.
const (
	CallSucceeds            CallOutcome = iota
	CallRejected                        // ErrUnavailable, and nothing is written
	ResponseLost                        // the write is applied, but its response is lost
	ResponseLostAppliedLate             // the response is lost, and ApplyDelayed applies the write
)

// FaultyTableService is a MemoryTableService whose calls have outcomes that a test
// chooses. Not safe for concurrent use.
type FaultyTableService struct {
	Memory      *MemoryTableService
	NextOutcome func() CallOutcome // called once per call
	Yield       func()             // called around the effect of a call, so that other operations can interleave
	delayed     []tableservice.Batch
}

// Get returns the row, or ErrUnavailable unless the call succeeds.
func (f *FaultyTableService) Get(ctx context.Context, table, key string) (tableservice.Row, error) {
	f.Yield()
	if f.NextOutcome() != CallSucceeds {
		return tableservice.Row{}, tableservice.ErrUnavailable
	}
	row, err := f.Memory.Get(ctx, table, key)
	f.Yield()
	return row, err
}

// Scan returns rows, or ErrUnavailable unless the call succeeds.
func (f *FaultyTableService) Scan(ctx context.Context, table, after string, limit int) ([]tableservice.Row, error) {
	f.Yield()
	if f.NextOutcome() != CallSucceeds {
		return nil, tableservice.ErrUnavailable
	}
	return f.Memory.Scan(ctx, table, after, limit)
}

// Commit applies the batch now, later or never, by the next outcome.
func (f *FaultyTableService) Commit(ctx context.Context, batch tableservice.Batch) ([]tableservice.WriteResult, error) {
	f.Yield()
	switch f.NextOutcome() {
	case CallRejected:
		return nil, tableservice.ErrUnavailable
	case ResponseLostAppliedLate:
		f.delayed = append(f.delayed, batch)
		return nil, tableservice.ErrOutcomeUnknown
	case ResponseLost:
		_, _ = f.Memory.Commit(ctx, batch)
		f.Yield()
		return nil, tableservice.ErrOutcomeUnknown
	}
	results, err := f.Memory.Commit(ctx, batch)
	f.Yield()
	return results, err
}

// ApplyDelayed applies the batches that were delayed by ResponseLostAppliedLate.
func (f *FaultyTableService) ApplyDelayed(ctx context.Context) {
	batches := f.delayed
	f.delayed = nil
	for _, batch := range batches {
		_, _ = f.Memory.Commit(ctx, batch)
	}
}
