package viewstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// StartOrderEpoch records that the store has returned from a copy if the epoch is a later
// one. The versions of the orders are valid in it, except for the pools whose rows
// differ.
func (s *State) StartOrderEpoch(epoch int64, differing map[string]bool) {
	if epoch <= s.orderEpoch {
		return
	}
	s.orderEpoch = epoch
	for pool, r := range s.rolloutOrders {
		if !differing[pool] {
			s.rolloutOrders[pool] = r.WithOrderEpoch(epoch)
			s.publishRollout(pool)
		}
	}
}

// StartRecordEpoch records that the store has returned from a copy if the epoch is a
// later one. The versions of the records are valid in it, except for those that the
// caller then reports as changed or lost.
func (s *State) StartRecordEpoch(epoch int64) {
	if epoch <= s.recordEpoch {
		return
	}
	s.recordEpoch = epoch
	for pool, r := range s.rolloutRecords {
		r.RowEpoch = epoch
		s.rolloutRecords[pool] = r
		s.publishRollout(pool)
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
	r.Lost = true
	r.RowVersion, r.RowEpoch, r.Token = shown.RowVersion, shown.RowEpoch, shown.Token
	s.log.Info("roll-out record lost by the store", "pool", pool, "stage", r.Stage.String(), "row_version", r.RowVersion)
	s.rolloutRecords[pool] = r
	s.publishRollout(pool)
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
		record.OrderVersion, record.Target, record.Lost = again.OrderVersion, again.Target, true
		s.rolloutRecords[again.Pool] = record
	}
	again.StartedAt, again.RenumberedFrom = known.StartedAt, known.OrderVersion
	return again
}

// reconcileRecord returns the record to apply. A stage stays in force if the store has an
// earlier one of the same order: daemons that did not know it have recorded that since the
// return from a copy. Since a roll-back is the last stage, it prevails over a completion.
func (s *State) reconcileRecord(pool string, known, r fleet.RolloutRecord) fleet.RolloutRecord {
	if known.RowVersion == r.RowVersion && known.Token == r.Token && !known.Lost {
		r.WrittenEpoch = known.WrittenEpoch
	}
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
