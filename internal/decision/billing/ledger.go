package billing

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Ledger holds the records of this daemon that are not written yet, and replicas of
// peers' records. No record is dropped before it is written. Safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	limit      int
	holderWait clock.Millis
	own        map[string]Record
	held       map[string]heldRecord
}

// heldRecord is the replica of a peer's record.
type heldRecord struct {
	record Record
	heldAt clock.Millis
}

// NewLedger returns an empty ledger for up to limit records. Replicas are due for
// writing once they have been held for holderWait.
func NewLedger(limit int, holderWait clock.Millis) *Ledger {
	return &Ledger{
		limit:      limit,
		holderWait: holderWait,
		own:        make(map[string]Record),
		held:       make(map[string]heldRecord),
	}
}

// Full reports whether new requests must be rejected, so that no record is dropped.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.own)+len(l.held) >= l.limit
}

// Add stores a record of this daemon, even if the ledger is full.
func (l *Ledger) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[r.ID] = r
}

// Hold stores replicas of a peer's records. If they exceed the limit, it stores none
// and returns false.
func (l *Ledger) Hold(records []Record, now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.own)+len(l.held)+len(records) > l.limit {
		return false
	}
	for _, r := range records {
		if _, ok := l.held[r.ID]; !ok {
			l.held[r.ID] = heldRecord{r, now}
		}
	}
	return true
}

// Release removes replicas that their origin has written.
func (l *Ledger) Release(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		delete(l.held, id)
	}
}

// Due returns up to n records to write: this daemon's own, then replicas that their
// origin has not released in time. A record may be written twice, since the table
// service accepts each ID once.
func (l *Ledger) Due(n int, now clock.Millis) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []Record
	for _, r := range l.own {
		if len(due) == n {
			return due
		}
		due = append(due, r)
	}
	for _, h := range l.held {
		if len(due) == n {
			return due
		}
		if now-h.heldAt >= l.holderWait {
			due = append(due, h.record)
		}
	}
	return due
}

// All returns all records, to be handed over to peers at shutdown.
func (l *Ledger) All() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Record, 0, len(l.own)+len(l.held))
	for _, r := range l.own {
		all = append(all, r)
	}
	for _, h := range l.held {
		all = append(all, h.record)
	}
	return all
}

// MarkWritten removes records that are in the table service.
func (l *Ledger) MarkWritten(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		delete(l.own, r.ID)
		delete(l.held, r.ID)
	}
}

// Counts returns the number of this daemon's records and of replicas.
func (l *Ledger) Counts() (own, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.own), len(l.held)
}
