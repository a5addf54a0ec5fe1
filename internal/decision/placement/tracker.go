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
	states     map[Key]ServerState
	warmRun    map[Key]int // reports in a row that say warm
}

// NewTracker returns a tracker that treats a server as cold once its newest
// report is older than staleAfter.
func NewTracker(staleAfter clock.Millis) *Tracker {
	return &Tracker{staleAfter: staleAfter, states: make(map[Key]ServerState), warmRun: make(map[Key]int)}
}

// States returns a copy of all states.
func (t *Tracker) States() map[Key]ServerState { return maps.Clone(t.states) }

// Get returns the state of one server; one never heard of is cold.
func (t *Tracker) Get(k Key) ServerState {
	s, ok := t.states[k]
	if !ok {
		s.Cold = true
	}
	return s
}

// Retain drops the states of servers that are gone from the tables.
func (t *Tracker) Retain(keep func(Key) bool) {
	maps.DeleteFunc(t.states, func(k Key, _ ServerState) bool { return !keep(k) })
	maps.DeleteFunc(t.warmRun, func(k Key, _ int) bool { return !keep(k) })
}

// Report takes in a load report that was asked for at that instant. It returns
// whether the server turned out to be cold or leaving without us knowing.
func (t *Tracker) Report(k Key, load Load, askedAt clock.Millis) (news bool) {
	s := t.Get(k)
	if s.Known && askedAt < s.LoadAt {
		return false
	}
	restarted := s.Known && s.Load.Incarnation != load.Incarnation
	wasCold, wasLeaving := s.Cold, s.Leaving
	s.Load, s.LoadAt, s.Known = load, askedAt, true
	s.Capacity = s.Capacity.With(load.Running, load.Waiting)
	s.Failures, s.EjectUntil = 0, 0
	t.applyWarmth(k, &s, load, restarted, askedAt)
	t.applyLeaving(&s, load, restarted, askedAt)
	t.states[k] = s
	return (!wasCold && s.Cold) || (!wasLeaving && s.Leaving)
}

// applyWarmth wants several warm reports in a row before full load, since a
// report may lag behind a restart.
func (t *Tracker) applyWarmth(k Key, s *ServerState, load Load, restarted bool, askedAt clock.Millis) {
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

func (t *Tracker) applyLeaving(s *ServerState, load Load, restarted bool, askedAt clock.Millis) {
	if load.Leaving {
		s.Leaving, s.LeavingAt = true, askedAt
		return
	}
	if restarted || askedAt > s.LeavingAt+t.staleAfter {
		s.Leaving = false
	}
}

func (t *Tracker) markCold(k Key, s *ServerState, at clock.Millis) {
	s.Cold, s.ColdSince = true, max(s.ColdSince, at)
	t.warmRun[k] = 0
}

// NoteCold records that the server was seen cold, by this daemon or a peer.
func (t *Tracker) NoteCold(k Key, at clock.Millis) {
	s := t.Get(k)
	t.markCold(k, &s, at)
	t.states[k] = s
}

// NoteLeaving records that the server was said to be leaving.
func (t *Tracker) NoteLeaving(k Key, at clock.Millis) {
	s := t.Get(k)
	s.Leaving, s.LeavingAt = true, max(s.LeavingAt, at)
	t.states[k] = s
}

// NoteFailure records a failed call or report and ejects the server for a
// while after several in a row.
func (t *Tracker) NoteFailure(k Key, now clock.Millis) {
	s := t.Get(k)
	s.Failures++
	if s.Failures >= failuresToEject {
		doublings := min(s.Failures-failuresToEject, maxEjectDoublings)
		s.EjectUntil = now + min(firstEject<<doublings, longestEject)
	}
	t.states[k] = s
}

// NoteSuccess records a call that went well.
func (t *Tracker) NoteSuccess(k Key) {
	s := t.Get(k)
	if s.Failures == 0 {
		return
	}
	s.Failures, s.EjectUntil = 0, 0
	t.states[k] = s
}

// SetPeerSends replaces what the other daemons have under way at each server.
func (t *Tracker) SetPeerSends(sends map[Key]int) {
	for k, s := range t.states {
		if s.PeerSends != sends[k] {
			s.PeerSends = sends[k]
			t.states[k] = s
		}
	}
}

// Age treats servers without a fresh report as cold.
func (t *Tracker) Age(now clock.Millis) {
	for k, s := range t.states {
		if !s.Cold && now-s.LoadAt > t.staleAfter {
			t.markCold(k, &s, now)
			t.states[k] = s
		}
	}
}
