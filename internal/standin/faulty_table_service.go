package standin

import (
	"context"

	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// CallOutcome is what becomes of one call to a FaultyTableService.
type CallOutcome int

// The fates of a call.
const (
	CallSucceeds            CallOutcome = iota
	CallRejected                        // nothing is written
	ResponseLost                        // it takes effect, and the answer is lost
	ResponseLostAppliedLate             // the answer is lost, and it takes effect later
)

// FaultyTableService is a table in memory whose calls meet a fate that a test decides.
type FaultyTableService struct {
	Memory      *MemoryTableService
	NextOutcome func() CallOutcome // is asked at each call
	Yield       func()             // lets others act before and after the effect
	delayed     []tableservice.Batch
}

// Get returns the row or an error.
func (f *FaultyTableService) Get(ctx context.Context, table, key string) (tableservice.Row, error) {
	f.Yield()
	if f.NextOutcome() != CallSucceeds {
		return tableservice.Row{}, tableservice.ErrUnavailable
	}
	row, err := f.Memory.Get(ctx, table, key)
	f.Yield()
	return row, err
}

// Scan returns rows or an error.
func (f *FaultyTableService) Scan(ctx context.Context, table, after string, limit int) ([]tableservice.Row, error) {
	f.Yield()
	if f.NextOutcome() != CallSucceeds {
		return nil, tableservice.ErrUnavailable
	}
	return f.Memory.Scan(ctx, table, after, limit)
}

// Commit applies the batch, or not, or later.
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
	applied, err := f.Memory.Commit(ctx, batch)
	f.Yield()
	return applied, err
}

// ApplyDelayed lets the writes that are still under way take effect.
func (f *FaultyTableService) ApplyDelayed(ctx context.Context) {
	late := f.delayed
	f.delayed = nil
	for _, batch := range late {
		_, _ = f.Memory.Commit(ctx, batch)
	}
}
