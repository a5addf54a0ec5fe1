package viewstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// StartOrderEpoch records that the store has returned from a copy if the epoch is a later
// one. The versions of the orders are valid in it, except for the pools whose rows
// differ.
func (s *State) StartOrderEpoch(epoch int64, differing map[string]bool) {
	if epoch <= s.orderEpoch {
		return
	}
	s.orderEpoch, s.returnedAt = epoch, s.now
	for pool, r := range s.rolloutOrders {
		if !differing[pool] {
			s.rolloutOrders[pool] = r.WithOrderEpoch(epoch)
			s.publishRollout(pool)
		}
	}
}

// StartRecordEpoch records that the store has returned from a copy if the epoch is a
// later one. The versions of the records are valid in it, except for the pools whose rows
// differ.
func (s *State) StartRecordEpoch(epoch int64, differing map[string]bool) {
	if epoch <= s.recordEpoch {
		return
	}
	s.recordEpoch = epoch
	for pool, r := range s.rolloutRecords {
		if !differing[pool] {
			r.RowEpoch = epoch
			s.rolloutRecords[pool] = r
			s.publishRollout(pool)
		}
	}
}

// LoseRolloutRecord handles the loss of a pool's record in the store's return from a
// copy. The known stage stays in force; shown is the older record that the store has
// instead, with RowVersion 0 if it has none.
func (s *State) LoseRolloutRecord(pool string, shown fleet.RolloutRecord) {
	r, ok := s.rolloutRecords[pool]
	if !ok {
		return
	}
	if !r.Lost {
		s.lostRecords[pool] = lostRecord{record: r, at: s.now}
	}
	r.Lost = true
	r.RowVersion, r.RowEpoch, r.Token = shown.RowVersion, shown.RowEpoch, shown.Token
	s.log.Info("roll-out record lost by the store", "pool", pool, "stage", r.Stage.String(), "row_version", r.RowVersion)
	s.rolloutRecords[pool] = r
	s.publishRollout(pool)
}

// lostRecord is a record that the store has lost with its order.
type lostRecord struct {
	record fleet.RolloutRecord
	at     clock.Millis
}

// lostRecordTimeout is how long an order may take to be written again after its record
// was lost.
const lostRecordTimeout = 30_000 * clock.Millis(1)

// adoptLostRecord gives the order its record back if the order was written again, even if
// another order was in force in between.
func (s *State) adoptLostRecord(r fleet.Rollout) {
	lost, current := s.lostRecords[r.Pool], s.rolloutRecords[r.Pool]
	earlier := func(record fleet.RolloutRecord) bool {
		return record.Target == r.Target && record.OrderEpoch < r.OrderEpoch
	}
	record := lost.record
	switch {
	case r.Owns(current):
		return
	case earlier(current) && s.now-s.returnedAt <= lostRecordTimeout:
		record = current
	case !earlier(lost.record) || s.now-lost.at > lostRecordTimeout:
		return
	}
	record.OrderVersion, record.OrderEpoch, record.Lost = r.OrderVersion, r.OrderEpoch, true
	record.RowVersion, record.RowEpoch, record.Token = current.RowVersion, current.RowEpoch, current.Token
	s.rolloutRecords[r.Pool] = record
	delete(s.lostRecords, r.Pool)
}

// LoseHost marks a host whose row was lost in the store's return from a copy. Its daemon
// writes the row again.
func (s *State) LoseHost(name string) {
	if h := s.edit().Host(name); h.Address != "" {
		h.Lost = true
		s.SetHost(name, h)
	}
}

// renumber returns the order as written again, with the start and the record of the
// known one.
func (s *State) renumber(known, again fleet.Rollout) fleet.Rollout {
	s.log.Info("roll-out order was written again", "pool", again.Pool, "order_version", again.OrderVersion, "previous", known.OrderVersion)
	if record, ok := s.rolloutRecords[again.Pool]; ok && known.Owns(record) && !again.Owns(record) {
		record.OrderVersion, record.OrderEpoch, record.Target, record.Lost = again.OrderVersion, again.OrderEpoch, again.Target, true
		s.rolloutRecords[again.Pool] = record
	}
	again.StartedAt, again.RenumberedFrom = known.StartedAt, known.OrderVersion
	return again
}

// reconcileRecord returns the record to apply. A stage stays in force if the store has an
// earlier one of the same order: daemons that did not know it have recorded that since the
// return from a copy. Since a roll-back is the last stage, it prevails over a completion.
func (s *State) reconcileRecord(pool string, known, r fleet.RolloutRecord) fleet.RolloutRecord {
	order, ok := s.rolloutOrders[pool]
	if ok && known.Stage > r.Stage && order.Owns(known) && order.Owns(r) {
		r.Stage, r.StartedAt, r.Lost = known.Stage, known.StartedAt, true
	}
	return r
}

// recordPosition returns the position in the store at which the record is known.
func recordPosition(r fleet.RolloutRecord) rowstore.Position {
	return rowstore.Position{Epoch: r.RowEpoch, Version: r.RowVersion}
}
