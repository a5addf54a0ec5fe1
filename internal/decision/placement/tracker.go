package placement

import (
	"maps"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Ejection after failures in a row doubles from the first step to the longest.
const (
	failuresToEject      = 3
	firstEject           = 500 * clock.Millis(1)
	longestEject         = 8_000 * clock.Millis(1)
	maxEjectDoublings    = 4
	reportsToBeWarmAgain = 2
)

// Tracker keeps the state of all backend servers. It belongs to one goroutine.
type Tracker struct {
	staleAfter clock.Millis
	states     map[ServerKey]ServerState
	warmRun    map[ServerKey]int // reports in a row that say warm
}

// NewTracker returns a tracker that treats a server as cold once its newest
// report is older than staleAfter.
func NewTracker(staleAfter clock.Millis) *Tracker {
	return &Tracker{staleAfter: staleAfter, states: make(map[ServerKey]ServerState), warmRun: make(map[ServerKey]int)}
}

// States returns a copy of all states.
func (t *Tracker) States() map[ServerKey]ServerState { return maps.Clone(t.states) }

// Get returns the state of one server; one never heard of is cold.
func (t *Tracker) Get(k ServerKey) ServerState {
	s, ok := t.states[k]
	if !ok {
		s.Cold = true
	}
	return s
}

// Retain drops the states of servers that are gone from the tables.
func (t *Tracker) Retain(keep func(ServerKey) bool) {
	maps.DeleteFunc(t.states, func(k ServerKey, _ ServerState) bool { return !keep(k) })
	maps.DeleteFunc(t.warmRun, func(k ServerKey, _ int) bool { return !keep(k) })
}

// ApplyReport takes in a load report that was asked for at that instant. It returns
// whether the server turned out to be cold or leaving without us knowing.
func (t *Tracker) ApplyReport(k ServerKey, load LoadReport, askedAt clock.Millis) (news bool) {
	s := t.Get(k)
	if s.Reported && askedAt < s.LoadRequestedAt {
		return false
	}
	restarted := s.Reported && s.Load.Incarnation != load.Incarnation
	wasCold, wasLeaving := s.Cold, s.Leaving
	s.Load, s.LoadRequestedAt, s.Reported = load, askedAt, true
	s.Capacity = s.Capacity.With(load.Running, load.Waiting)
	s.ConsecutiveFailures, s.EjectedUntil = 0, 0
	t.applyWarmth(k, &s, load, restarted, askedAt)
	t.applyLeaving(&s, load, restarted, askedAt)
	t.states[k] = s
	return (!wasCold && s.Cold) || (!wasLeaving && s.Leaving)
}

// applyWarmth wants several warm reports in a row before full load, since a
// report may lag behind a restart.
func (t *Tracker) applyWarmth(k ServerKey, s *ServerState, load LoadReport, restarted bool, askedAt clock.Millis) {
	if load.Cold || restarted {
		t.markCold(k, s, askedAt)
		return
	}
	if askedAt <= s.ColdSince {
		return
	}
	t.warmRun[k]++
	if t.warmRun[k] >= reportsToBeWarmAgain {
		s.Cold = false
	}
}

func (t *Tracker) applyLeaving(s *ServerState, load LoadReport, restarted bool, askedAt clock.Millis) {
	if load.Leaving {
		s.Leaving, s.LeavingReportedAt = true, askedAt
		return
	}
	if restarted || askedAt > s.LeavingReportedAt+t.staleAfter {
		s.Leaving = false
	}
}

func (t *Tracker) markCold(k ServerKey, s *ServerState, at clock.Millis) {
	s.Cold, s.ColdSince = true, max(s.ColdSince, at)
	t.warmRun[k] = 0
}

// RecordCold records that the server was seen cold, by this daemon or a peer.
func (t *Tracker) RecordCold(k ServerKey, at clock.Millis) {
	s := t.Get(k)
	t.markCold(k, &s, at)
	t.states[k] = s
}

// RecordLeaving records that the server was said to be leaving.
func (t *Tracker) RecordLeaving(k ServerKey, at clock.Millis) {
	s := t.Get(k)
	s.Leaving, s.LeavingReportedAt = true, max(s.LeavingReportedAt, at)
	t.states[k] = s
}

// RecordFailure records a failed call or report and ejects the server for a
// while after several in a row.
func (t *Tracker) RecordFailure(k ServerKey, now clock.Millis) {
	s := t.Get(k)
	s.ConsecutiveFailures++
	if s.ConsecutiveFailures >= failuresToEject {
		doublings := min(s.ConsecutiveFailures-failuresToEject, maxEjectDoublings)
		s.EjectedUntil = now + min(firstEject<<doublings, longestEject)
	}
	t.states[k] = s
}

// RecordSuccess records a call that went well.
func (t *Tracker) RecordSuccess(k ServerKey) {
	s := t.Get(k)
	if s.ConsecutiveFailures == 0 {
		return
	}
	s.ConsecutiveFailures, s.EjectedUntil = 0, 0
	t.states[k] = s
}

// SetPeerInFlight replaces what the other daemons have under way at each server.
func (t *Tracker) SetPeerInFlight(sends map[ServerKey]int) {
	for k, s := range t.states {
		if s.PeerInFlight != sends[k] {
			s.PeerInFlight = sends[k]
			t.states[k] = s
		}
	}
}

// ExpireReports treats servers without a fresh report as cold.
func (t *Tracker) ExpireReports(now clock.Millis) {
	for k, s := range t.states {
		if !s.Cold && now-s.LoadRequestedAt > t.staleAfter {
			t.markCold(k, &s, now)
			t.states[k] = s
		}
	}
}
