package billing

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Ledger holds this daemon's unwritten records and those that it keeps for
// peers as a replica. It never drops a record. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	limit      int
	holderWait clock.Millis
	own        map[string]Record
	held       map[string]heldRecord
}

type heldRecord struct {
	record Record
	since  clock.Millis
}

// NewLedger returns an empty ledger that is full at limit records, and whose
// held records are due once they are as old as holderWait.
func NewLedger(limit int, holderWait clock.Millis) *Ledger {
	return &Ledger{
		limit:      limit,
		holderWait: holderWait,
		own:        make(map[string]Record),
		held:       make(map[string]heldRecord),
	}
}

// Full tells whether new work must be refused, so that no record is dropped.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.own)+len(l.held) >= l.limit
}

// Add takes in a record of this daemon.
func (l *Ledger) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[r.ID] = r
}

// Hold takes in records for a peer. It takes none where the ledger is full.
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

// Release drops held records that their origin has written.
func (l *Ledger) Release(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		delete(l.held, id)
	}
}

// Due returns up to n records to write: the daemon's own, and held ones whose
// origin has not released them in time. Writing one twice does no harm, since
// the table service takes each id once.
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
		if now-h.since >= l.holderWait {
			due = append(due, h.record)
		}
	}
	return due
}

// All returns all records, for handing over at a shutdown.
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

// MarkWritten drops records that the table service has.
func (l *Ledger) MarkWritten(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		delete(l.own, r.ID)
		delete(l.held, r.ID)
	}
}

// Counts returns the numbers of own and of held records.
func (l *Ledger) Counts() (own, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.own), len(l.held)
}
