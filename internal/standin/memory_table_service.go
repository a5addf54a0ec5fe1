package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// MemoryTableService is a transactional table in memory. It is a tableservice.Service.
type MemoryTableService struct {
	mu     sync.Mutex
	tables map[string]map[string]tableservice.Row
	writes int
	reads  int
}

// NewMemoryTableService returns a table service without rows.
func NewMemoryTableService() *MemoryTableService {
	return &MemoryTableService{tables: make(map[string]map[string]tableservice.Row)}
}

// Get returns the row or ErrNotFound.
func (t *MemoryTableService) Get(_ context.Context, table, key string) (tableservice.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.tables[table][key]
	if !ok {
		return tableservice.Row{}, tableservice.ErrNotFound
	}
	return row, nil
}

// Scan returns up to limit rows in the order of their keys, after the given key.
func (t *MemoryTableService) Scan(_ context.Context, table, after string, limit int) ([]tableservice.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows := []tableservice.Row{}
	for key, row := range t.tables[table] {
		if key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tableservice.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)], nil
}

// Commit applies the batch.
func (t *MemoryTableService) Commit(_ context.Context, batch tableservice.Batch) ([]tableservice.WriteResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if batch.Atomic && !t.allHold(batch.Writes) {
		return t.outcome(batch.Writes, func(tableservice.Write) bool { return false }), nil
	}
	return t.outcome(batch.Writes, t.apply), nil
}

// CallCounts returns the numbers of writes and reads so far.
func (t *MemoryTableService) CallCounts() (writes, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}

func (t *MemoryTableService) allHold(writes []tableservice.Write) bool {
	for _, w := range writes {
		if !t.holds(w) {
			return false
		}
	}
	return true
}

func (t *MemoryTableService) holds(w tableservice.Write) bool {
	row, ok := t.tables[w.Table][w.Key]
	switch w.Condition {
	case tableservice.IfAbsent:
		return !ok
	case tableservice.IfVersion:
		return ok && row.Version == w.Version
	default:
		return true
	}
}

func (t *MemoryTableService) apply(w tableservice.Write) bool {
	if !t.holds(w) {
		return false
	}
	if t.tables[w.Table] == nil {
		t.tables[w.Table] = make(map[string]tableservice.Row)
	}
	row := t.tables[w.Table][w.Key]
	t.tables[w.Table][w.Key] = tableservice.Row{Table: w.Table, Key: w.Key, Version: row.Version + 1, Value: w.Value}
	return true
}

func (t *MemoryTableService) outcome(writes []tableservice.Write, apply func(tableservice.Write) bool) []tableservice.WriteResult {
	applied := make([]tableservice.WriteResult, len(writes))
	for i, w := range writes {
		applied[i].Applied = apply(w)
		applied[i].Row = t.tables[w.Table][w.Key]
	}
	return applied
}
