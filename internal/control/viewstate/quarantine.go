package viewstate

import "gypsumpitch.example/gypsumpitch/internal/decision/fleet"

// SetQuarantine applies the store's record of a quarantined prompt segment.
func (s *State) SetQuarantine(segment uint64, q fleet.Quarantine) {
	if old, ok := s.View().Quarantines[segment]; ok && old == q {
		return
	}
	s.view = s.View().WithQuarantine(segment, q)
}

// RemoveQuarantine removes the record of a prompt segment that is no longer quarantined.
func (s *State) RemoveQuarantine(segment uint64) {
	if _, ok := s.View().Quarantines[segment]; ok {
		s.view = s.View().WithoutQuarantine(segment)
	}
}

// LoseQuarantine marks the record of a prompt segment as lost by the store. It stays in
// force until it is written again.
func (s *State) LoseQuarantine(segment uint64) {
	if q, ok := s.View().Quarantines[segment]; ok {
		q.Lost = true
		s.SetQuarantine(segment, q)
	}
}
