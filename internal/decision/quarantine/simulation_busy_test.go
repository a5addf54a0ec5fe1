package quarantine

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// busyHosts describes daemons on busy hosts, one of which is frozen from the beginning on. All
// times are from the beginning.
type busyHosts struct {
	reportDelay  clock.Millis // at most, of a report between daemons
	checkDelay   clock.Millis // at most, until it is known whether a server has crashed
	frozen       int          // number of the daemon that is frozen
	wakesAt      clock.Millis
	restartsAt   clock.Millis // daemon 0 starts again, without its memory
	allRestartAt clock.Millis // all daemons do
}

// simCrashCheck is how long a retry waits for the check of the server that broke off.
const simCrashCheck = 100 * clock.Millis(1)

// delayedEvent is something that happens at its time.
type delayedEvent struct {
	at  clock.Millis
	act func()
}

// after acts after the delay; at once if there is none.
func (s *simulation) after(delay clock.Millis, act func()) {
	if delay <= 0 {
		act()
		return
	}
	s.delayed = append(s.delayed, delayedEvent{s.now + delay, act})
}

// runDelayed acts on what is due.
func (s *simulation) runDelayed() {
	var due []delayedEvent
	s.delayed = slices.DeleteFunc(s.delayed, func(e delayedEvent) bool {
		if e.at <= s.now {
			due = append(due, e)
		}
		return e.at <= s.now
	})
	for _, e := range due {
		e.act()
	}
}

// delay returns a random delay.
func (s *simulation) delay(most clock.Millis) clock.Millis {
	return clock.Millis(s.rng.Int64N(int64(most) + 1))
}

func (s *simulation) isFrozen(daemon int) bool {
	return s.busy != nil && daemon == s.busy.frozen && s.now < start+s.busy.wakesAt
}

// disturb has the daemons start again at their times. They read the store first.
func (s *simulation) disturb() {
	restart := func(daemon int) {
		s.trackers[daemon] = NewTracker()
		s.store.reports[daemon] = make(map[int]simReport)
		s.trackers[daemon].Update(Evidence{Stored: maps.Clone(s.store.quarantines), Owns: s.owns(daemon)}, s.now)
	}
	s.after(s.busy.restartsAt, func() { restart(0) })
	s.after(s.busy.allRestartAt, func() {
		for daemon := range s.daemons {
			restart(daemon)
		}
	})
}

// simReport is the last report of a peer.
type simReport struct {
	crashes []Crash
	sound   []SoundRuns
	at      clock.Millis // when it was made
}

// simStore holds the quarantines that daemons have recorded, and the reports that each daemon
// has received, by sender.
type simStore struct {
	quarantines map[Part]Quarantine
	reports     []map[int]simReport
}

func newSimStore(daemons int) *simStore {
	s := &simStore{quarantines: make(map[Part]Quarantine)}
	for range daemons {
		s.reports = append(s.reports, make(map[int]simReport))
	}
	return s
}

// evidence returns what the daemon has received, with the ages of now.
func (s *simStore) evidence(daemon int, now clock.Millis) Evidence {
	e := Evidence{Stored: maps.Clone(s.quarantines)}
	for _, from := range slices.Sorted(maps.Keys(s.reports[daemon])) {
		r := s.reports[daemon][from]
		for _, c := range r.crashes {
			c.Age += now - r.at
			e.Crashes = append(e.Crashes, c)
		}
		for _, runs := range r.sound {
			runs.Age += now - r.at
			e.Sound = append(e.Sound, runs)
		}
	}
	return e
}

// record writes what the daemon holds, and deletes what it has released.
func (s *simStore) record(t *Tracker) {
	active, released := t.Records()
	for part, q := range active {
		if stored, ok := s.quarantines[part]; !ok || stored.Hold < q.Hold {
			s.quarantines[part] = q
		}
	}
	for _, part := range released {
		delete(s.quarantines, part)
	}
}

// exchangeDelayed sends the reports of the daemons, which arrive late, and has each daemon read
// and write the store.
func (s *simulation) exchangeDelayed() {
	for i, tracker := range s.trackers {
		if s.isFrozen(i) {
			continue
		}
		e := s.store.evidence(i, s.now)
		e.Owns = s.owns(i)
		tracker.Update(e, s.now)
		s.store.record(tracker)
		crashes, sound := tracker.Own(s.now)
		for to := range s.trackers {
			if to == i || s.isFrozen(to) {
				continue
			}
			report := simReport{crashes, sound, s.now}
			s.after(s.delay(s.busy.reportDelay), func() { s.store.reports[to][i] = report })
		}
	}
}

// lateBesideBusy returns how many arrivals of the worst request were late. The woken daemon
// passes on what it held before it is in touch: these don't count.
func (s *simulation) lateBesideBusy() (worst int) {
	woken := start + s.busy.wakesAt
	for cause, crashes := range s.crashes {
		if len(crashes) < 3 {
			continue
		}
		late := 0
		for _, at := range s.arrivals[cause] {
			if at >= crashes[2]+lateAfter && (at < woken || at >= woken+lateAfter) {
				late++
			}
		}
		worst = max(worst, late)
	}
	return worst
}

// TestRequestsThatCrashServersBesideBusyHosts has four requests crash servers while reports and
// checks are late, one daemon is frozen, and daemons start again. A daemon that has started again
// knows only the crashes that its peers still report. It must not release a request because
// those few have another cause, nor delete it in the store.
func TestRequestsThatCrashServersBesideBusyHosts(t *testing.T) {
	s := baseRequest
	s.crashAfter, s.answerTime, s.requests, s.requestRate, s.servers, s.soundRate = 75, 300, 4, 10, 9, 50
	s.busy = &busyHosts{reportDelay: 600, checkDelay: 150, frozen: 2, wakesAt: 6_000, restartsAt: 12_000, allRestartAt: 15_000}
	failed, worst := 0, 0
	for seed := range uint64(simSeeds) {
		sim := newSimulation(s, seed)
		sim.run(20_000)
		late := sim.lateBesideBusy()
		if late > maxLate {
			failed++
		}
		worst = max(worst, late)
	}
	t.Logf("%d of %d seeds failed; at most %d late", failed, simSeeds, worst)
	assert.Equal(t, failed, 0)
}
