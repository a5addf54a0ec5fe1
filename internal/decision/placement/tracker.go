package placement

import (
	"maps"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// A server is ejected after consecutive failures. Each further failure doubles the
// time until maxEjection.
const (
	failuresToEject      = 3
	initialEjection      = 500 * clock.Millis(1)
	maxEjection          = 8_000 * clock.Millis(1)
	maxEjectionDoublings = 4
	warmReportsNeeded    = 2 // consecutive, before a cold server counts as warm
)

// Tracker tracks the state of all backend servers. Not safe for concurrent use.
type Tracker struct {
	staleAfter  clock.Millis
	states      map[ServerKey]ServerState
	warmReports map[ServerKey]int // consecutive reports of being warm
}

// NewTracker returns an empty tracker. Reports older than staleAfter are expired by
// ExpireReports.
func NewTracker(staleAfter clock.Millis) *Tracker {
	return &Tracker{staleAfter: staleAfter, states: make(map[ServerKey]ServerState), warmReports: make(map[ServerKey]int)}
}

// States returns a copy of all states.
func (t *Tracker) States() map[ServerKey]ServerState { return maps.Clone(t.states) }

// Get returns the state of one server. An unknown server is cold.
func (t *Tracker) Get(k ServerKey) ServerState {
	s, ok := t.states[k]
	if !ok {
		s.Cold = true
	}
	return s
}

// Retain removes the servers for which keep returns false.
func (t *Tracker) Retain(keep func(ServerKey) bool) {
	maps.DeleteFunc(t.states, func(k ServerKey, _ ServerState) bool { return !keep(k) })
	maps.DeleteFunc(t.warmReports, func(k ServerKey, _ int) bool { return !keep(k) })
}

// ApplyReport applies a load report that was requested at that time. It returns true
// if the server was not known to be cold or leaving and now is. Reports older than
// the newest one are ignored.
func (t *Tracker) ApplyReport(k ServerKey, load LoadReport, requestedAt clock.Millis) (changed bool) {
	s := t.Get(k)
	if s.Reported && requestedAt < s.LoadRequestedAt {
		return false
	}
	restarted := s.Reported && s.Load.Incarnation != load.Incarnation
	wasCold, wasLeaving := s.Cold, s.Leaving
	s.Load, s.LoadRequestedAt, s.Reported = load, requestedAt, true
	s.Capacity = s.Capacity.With(load.Running, load.Waiting)
	s.ConsecutiveFailures, s.EjectedUntil = 0, 0
	t.applyCold(k, &s, load, restarted, requestedAt)
	t.applyLeaving(&s, load, restarted, requestedAt)
	t.states[k] = s
	return (!wasCold && s.Cold) || (!wasLeaving && s.Leaving)
}

// applyCold updates whether the server is cold. A cold server counts as warm
// only after several warm reports, since a report may lag behind a restart.
func (t *Tracker) applyCold(k ServerKey, s *ServerState, load LoadReport, restarted bool, requestedAt clock.Millis) {
	if load.Cold || restarted {
		t.markCold(k, s, requestedAt)
		return
	}
	if requestedAt <= s.ColdSince {
		return
	}
	t.warmReports[k]++
	if t.warmReports[k] >= warmReportsNeeded {
		s.Cold = false
	}
}

// applyLeaving updates whether the server is leaving. A restart ends that state, as
// does a report of not leaving that was requested more than staleAfter after the last
// report of leaving.
func (t *Tracker) applyLeaving(s *ServerState, load LoadReport, restarted bool, requestedAt clock.Millis) {
	if load.Leaving {
		s.Leaving, s.LeavingReportedAt = true, requestedAt
		return
	}
	if restarted || requestedAt > s.LeavingReportedAt+t.staleAfter {
		s.Leaving = false
	}
}

func (t *Tracker) markCold(k ServerKey, s *ServerState, observedAt clock.Millis) {
	s.Cold, s.ColdSince = true, max(s.ColdSince, observedAt)
	t.warmReports[k] = 0
}

// RecordCold records that this daemon or a peer observed the server cold.
func (t *Tracker) RecordCold(k ServerKey, observedAt clock.Millis) {
	s := t.Get(k)
	t.markCold(k, &s, observedAt)
	t.states[k] = s
}

// RecordLeaving records that the server announced its shutdown.
func (t *Tracker) RecordLeaving(k ServerKey, reportedAt clock.Millis) {
	s := t.Get(k)
	s.Leaving, s.LeavingReportedAt = true, max(s.LeavingReportedAt, reportedAt)
	t.states[k] = s
}

// RecordFailure records a failed call or report. It ejects the server for a time
// after several consecutive failures.
func (t *Tracker) RecordFailure(k ServerKey, now clock.Millis) {
	s := t.Get(k)
	s.ConsecutiveFailures++
	if s.ConsecutiveFailures >= failuresToEject {
		doublings := min(s.ConsecutiveFailures-failuresToEject, maxEjectionDoublings)
		s.EjectedUntil = now + min(initialEjection<<doublings, maxEjection)
	}
	t.states[k] = s
}

// RecordSuccess resets the consecutive failures and ends an ejection.
func (t *Tracker) RecordSuccess(k ServerKey) {
	s := t.Get(k)
	if s.ConsecutiveFailures == 0 {
		return
	}
	s.ConsecutiveFailures, s.EjectedUntil = 0, 0
	t.states[k] = s
}

// SetPeerInFlight replaces the in-flight requests of the other daemons.
func (t *Tracker) SetPeerInFlight(counts map[ServerKey]int) {
	for k, s := range t.states {
		if s.PeerInFlight != counts[k] {
			s.PeerInFlight = counts[k]
			t.states[k] = s
		}
	}
}

// ExpireReports marks servers as cold whose newest report is stale.
func (t *Tracker) ExpireReports(now clock.Millis) {
	for k, s := range t.states {
		if !s.Cold && now-s.LoadRequestedAt > t.staleAfter {
			t.markCold(k, &s, now)
			t.states[k] = s
		}
	}
}
