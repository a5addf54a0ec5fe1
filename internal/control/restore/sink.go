package restore

import (
	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/follower"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// Sink applies the pages of one table to another sink, as its Ledger allows. It
// implements follower.Sink.
type Sink struct {
	log    hclog.Logger
	clock  clock.Clock
	next   follower.Sink
	ledger *Ledger
	loaded bool
}

// NewSink returns a sink of one table that passes its pages on to next.
func NewSink(log hclog.Logger, c clock.Clock, next follower.Sink) *Sink {
	return &Sink{log: log, clock: c, next: next, ledger: NewLedger()}
}

// SetAvailable implements follower.Sink.
func (s *Sink) SetAvailable(table string, available bool) { s.next.SetAvailable(table, available) }

// Replace implements follower.Sink. Only the first page replaces the rows of the next
// sink; a later one is passed on as changes and removals.
func (s *Sink) Replace(table string, page rowstore.Page) {
	page = s.apply(table, page, true)
	if s.loaded {
		s.next.Update(table, page)
		return
	}
	s.loaded = true
	s.next.Replace(table, page)
}

// Update implements follower.Sink.
func (s *Sink) Update(table string, page rowstore.Page) {
	s.next.Update(table, s.apply(table, page, false))
}

func (s *Sink) apply(table string, page rowstore.Page, complete bool) rowstore.Page {
	result := s.ledger.Apply(page, complete, s.clock.Now())
	if result.Risen {
		s.log.Warn("table returned from an older copy; what was in force is kept", "table", table, "epoch", page.Epoch,
			"row_version", page.Version, "rows_lost", result.Lost)
	}
	if result.Expired > 0 {
		s.log.Warn("lost rows were not written again and are removed", "table", table, "epoch", page.Epoch, "rows", result.Expired)
	}
	return result.Page
}
