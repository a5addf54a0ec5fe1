package standin

import (
	"context"

	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// Fate is what becomes of one call to a FaultTable.
type Fate int

// The fates of a call.
const (
	Works       Fate = iota
	Unavailable      // nothing is written
	AnswerLost       // it takes effect, and the answer is lost
	LostAndLate      // the answer is lost, and it takes effect later
)

// FaultTable is a table in memory whose calls meet a fate that a test decides.
type FaultTable struct {
	Memory *TableMemory
	Decide func() Fate // is asked at each call
	Pause  func()      // lets others act before and after the effect
	late   []tableservice.Batch
}

// Get returns the row or an error.
func (f *FaultTable) Get(ctx context.Context, table, key string) (tableservice.Row, error) {
	f.Pause()
	if f.Decide() != Works {
		return tableservice.Row{}, tableservice.ErrUnavailable
	}
	row, err := f.Memory.Get(ctx, table, key)
	f.Pause()
	return row, err
}

// Scan returns rows or an error.
func (f *FaultTable) Scan(ctx context.Context, table, after string, limit int) ([]tableservice.Row, error) {
	f.Pause()
	if f.Decide() != Works {
		return nil, tableservice.ErrUnavailable
	}
	return f.Memory.Scan(ctx, table, after, limit)
}

// Commit applies the batch, or not, or later.
func (f *FaultTable) Commit(ctx context.Context, batch tableservice.Batch) ([]tableservice.WriteResult, error) {
	f.Pause()
	switch f.Decide() {
	case Unavailable:
		return nil, tableservice.ErrUnavailable
	case LostAndLate:
		f.late = append(f.late, batch)
		return nil, tableservice.ErrOutcomeUnknown
	case AnswerLost:
		_, _ = f.Memory.Commit(ctx, batch)
		f.Pause()
		return nil, tableservice.ErrOutcomeUnknown
	}
	applied, err := f.Memory.Commit(ctx, batch)
	f.Pause()
	return applied, err
}

// Late lets the writes that are still under way take effect.
func (f *FaultTable) Late(ctx context.Context) {
	late := f.late
	f.late = nil
	for _, batch := range late {
		_, _ = f.Memory.Commit(ctx, batch)
	}
}
