package viewstate

import "gypsumpitch.example/gypsumpitch/internal/decision/fleet"

// SetQuarantine applies the store's record of a quarantine.
func (s *State) SetQuarantine(key fleet.QuarantineKey, q fleet.Quarantine) {
	if old, ok := s.View().Quarantines[key]; ok && old == q {
		return
	}
	s.view = s.View().WithQuarantine(key, q)
}

// RemoveQuarantine removes the record of a quarantine that has ended.
func (s *State) RemoveQuarantine(key fleet.QuarantineKey) {
	if _, ok := s.View().Quarantines[key]; ok {
		s.view = s.View().WithoutQuarantine(key)
	}
}

// LoseQuarantine marks the record of a quarantine as lost by the store. It stays in
// force until it is written again.
func (s *State) LoseQuarantine(key fleet.QuarantineKey) {
	if q, ok := s.View().Quarantines[key]; ok {
		q.Lost = true
		s.SetQuarantine(key, q)
	}
}
