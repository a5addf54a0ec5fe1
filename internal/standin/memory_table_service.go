package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// MemoryTableService is a tableservice.Service that keeps its rows in memory. Safe
// for concurrent use.
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
func (s *MemoryTableService) Get(_ context.Context, table, key string) (tableservice.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.tables[table][key]
	if !ok {
		return tableservice.Row{}, tableservice.ErrNotFound
	}
	return row, nil
}

// Scan returns up to limit rows with a key above after, in ascending order of keys.
func (s *MemoryTableService) Scan(_ context.Context, table, after string, limit int) ([]tableservice.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	rows := []tableservice.Row{}
	for key, row := range s.tables[table] {
		if key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tableservice.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)], nil
}

// Commit applies the writes whose condition holds. If one of an atomic batch doesn't,
// none is applied. The results have the current row of each write.
func (s *MemoryTableService) Commit(_ context.Context, batch tableservice.Batch) ([]tableservice.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if batch.Atomic && !s.conditionsHold(batch.Writes) {
		return s.writeResults(batch.Writes, func(tableservice.Write) bool { return false }), nil
	}
	return s.writeResults(batch.Writes, s.apply), nil
}

// CallCounts returns the number of commits, and of gets and scans, so far.
func (s *MemoryTableService) CallCounts() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

func (s *MemoryTableService) conditionsHold(writes []tableservice.Write) bool {
	for _, w := range writes {
		if !s.conditionHolds(w) {
			return false
		}
	}
	return true
}

func (s *MemoryTableService) conditionHolds(w tableservice.Write) bool {
	row, ok := s.tables[w.Table][w.Key]
	switch w.Condition {
	case tableservice.IfAbsent:
		return !ok
	case tableservice.IfVersion:
		return ok && row.Version == w.Version
	default:
		return true
	}
}

func (s *MemoryTableService) apply(w tableservice.Write) bool {
	if !s.conditionHolds(w) {
		return false
	}
	if s.tables[w.Table] == nil {
		s.tables[w.Table] = make(map[string]tableservice.Row)
	}
	row := s.tables[w.Table][w.Key]
	s.tables[w.Table][w.Key] = tableservice.Row{Table: w.Table, Key: w.Key, Version: row.Version + 1, Value: w.Value}
	return true
}

// writeResults calls apply for each write and returns its result. The caller holds mu.
func (s *MemoryTableService) writeResults(writes []tableservice.Write, apply func(tableservice.Write) bool) []tableservice.WriteResult {
	results := make([]tableservice.WriteResult, len(writes))
	for i, w := range writes {
		results[i].Applied = apply(w)
		results[i].Row = s.tables[w.Table][w.Key]
	}
	return results
}
