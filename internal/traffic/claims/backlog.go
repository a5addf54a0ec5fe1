package claims

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/claim"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

const (
	writeTimeout  = 2 * time.Second
	retryInterval = 250 * time.Millisecond
)

// Backlog holds the outcomes of claimed calls until they are written to the table
// service. Safe for concurrent use.
type Backlog struct {
	tableService tableservice.Service
	mu           sync.Mutex
	pending      map[string]claim.Row // by key of the table; ClaimID identifies the claim
	wake         chan struct{}
}

// NewBacklog returns an empty backlog. Nothing is written until Run or Flush is called.
func NewBacklog(tableService tableservice.Service) *Backlog {
	return &Backlog{tableService: tableService, pending: make(map[string]claim.Row), wake: make(chan struct{}, 1)}
}

// Add queues an outcome. It replaces an unwritten outcome under the same key.
func (b *Backlog) Add(key string, row claim.Row) {
	b.mu.Lock()
	b.pending[key] = row
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Len returns the number of outcomes that are not written yet.
func (b *Backlog) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Run writes outcomes until the context ends.
func (b *Backlog) Run(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-ticker.C:
		}
		b.Flush(ctx)
	}
}

// Flush tries to write each pending outcome once. It stops at the first write that
// fails, since the table service is probably unavailable.
func (b *Backlog) Flush(ctx context.Context) {
	b.mu.Lock()
	batch := make(map[string]claim.Row, len(b.pending))
	for key, row := range b.pending {
		batch[key] = row
	}
	b.mu.Unlock()
	for key, row := range batch {
		if !b.write(ctx, key, row) {
			return
		}
		b.mu.Lock()
		if b.pending[key].ClaimID == row.ClaimID && b.pending[key].State == row.State {
			delete(b.pending, key)
		}
		b.mu.Unlock()
	}
}

// write stores the outcome if the row in the table still belongs to the same claim. It
// returns false if the write must be retried later, also because the row has changed
// since it was read.
func (b *Backlog) write(ctx context.Context, key string, row claim.Row) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	stored, err := b.tableService.Get(ctx, Table, key)
	if errors.Is(err, tableservice.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	current, err := decode(stored)
	if err != nil || current.ClaimID != row.ClaimID || current.State == row.State || current.State == claim.Done {
		return true
	}
	w, err := tableservice.NewWrite(Table, key, row, tableservice.IfVersion, stored.Version)
	if err != nil {
		return true
	}
	results, err := b.tableService.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	return err == nil && len(results) == 1 && results[0].Applied
}
