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
	writeLimit  = 2 * time.Second
	retryPeriod = 250 * time.Millisecond
)

// Backlog writes the outcomes of claims until the table service has them. It
// is safe for concurrent use.
type Backlog struct {
	table   tableservice.Service
	mu      sync.Mutex
	pending map[string]claim.Row // by key; the claim ID tells whose it is
	wake    chan struct{}
}

// NewBacklog returns an empty backlog; Run must be called for it to be written.
func NewBacklog(table tableservice.Service) *Backlog {
	return &Backlog{table: table, pending: make(map[string]claim.Row), wake: make(chan struct{}, 1)}
}

// Add takes in an outcome to be written.
func (b *Backlog) Add(key string, row claim.Row) {
	b.mu.Lock()
	b.pending[key] = row
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Len returns the number of outcomes that aren't written yet.
func (b *Backlog) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Run writes outcomes until the context ends.
func (b *Backlog) Run(ctx context.Context) {
	ticker := time.NewTicker(retryPeriod)
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

// Flush tries to write each outcome once.
func (b *Backlog) Flush(ctx context.Context) {
	b.mu.Lock()
	work := make(map[string]claim.Row, len(b.pending))
	for key, row := range b.pending {
		work[key] = row
	}
	b.mu.Unlock()
	for key, row := range work {
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

// write replaces the claim by its outcome, if it is still the same claim. It
// returns false where the table service should be left alone for a while.
func (b *Backlog) write(ctx context.Context, key string, row claim.Row) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeLimit)
	defer cancel()
	stored, err := b.table.Get(ctx, Table, key)
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
	_, err = b.table.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	return err == nil
}
