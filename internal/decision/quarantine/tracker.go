package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// crashMemory is how long a crash is remembered.
	crashMemory = 120_000 * clock.Millis(1)
	// minHold is how long a segment is quarantined before a single request with it is let
	// through on trial. It doubles with each trial that crashes a server, up to maxHold.
	minHold = 60_000 * clock.Millis(1)
	maxHold = 1_800_000 * clock.Millis(1)
	// expiry is the time after the last trial fell due at which a quarantine ends for want of
	// requests.
	expiry = 3_600_000 * clock.Millis(1)
	// trialTurn is the time in which one daemon may let one request through. Then it is the
	// turn of the next daemon.
	trialTurn = 30_000 * clock.Millis(1)
	// releaseMemory is how long the record of a released segment in the store is ignored.
	releaseMemory = 60_000 * clock.Millis(1)
	// reportTime is how long this daemon reports a crash: the others remember it.
	reportTime = 15_000 * clock.Millis(1)
	// maxQuarantined bounds the segments that are quarantined.
	maxQuarantined = 256
)

// Quarantine states since when a segment is quarantined, and for how long until its trial.
type Quarantine struct {
	Since clock.Millis
	Hold  clock.Millis
}

// TrialAt returns when a request with the segment is let through.
func (q Quarantine) TrialAt() clock.Millis { return q.Since + q.Hold }

// Change is the beginning, the extension or the end of a quarantine.
type Change struct {
	Part        Part
	Quarantined bool
	Quarantine  Quarantine
	Crashes     int // that are known of
	Reason      string
}

// Tracker holds the evidence of this daemon and its peers, and the segments quarantined by
// it. It is safe for concurrent use.
type Tracker struct {
	blocked atomic.Pointer[map[Part]Quarantine] // immutable copy of active

	mu        sync.Mutex
	runs      map[ServerStart]map[*Run]bool
	started   uint64 // number of runs
	ended     []*Run // abandoned early; still in runs
	nextCheck map[ServerStart]clock.Millis
	sound     soundCounts
	own       map[ServerStart]notedCrash
	evidence  Evidence // of the last Update
	peers     map[ServerStart]notedCrash
	active    map[Part]Quarantine
	inStore   map[Part]bool // quarantined segments that the store had
	released  map[Part]clock.Millis
	triedAt   map[Part]clock.Millis // when this daemon last let a request through
}

// notedCrash is a crash with its time, in place of its age.
type notedCrash struct {
	Crash
	at clock.Millis
}

// Evidence is what the other daemons and the store know.
type Evidence struct {
	Crashes []Crash
	Sound   []SoundRuns
	Stored  map[Part]Quarantine
	// Owns reports whether this daemon makes the trial of a segment in the given turn, which
	// are numbered from 0. Each daemon has its turn.
	Owns func(segment Part, turn int) bool
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		runs:      make(map[ServerStart]map[*Run]bool),
		nextCheck: make(map[ServerStart]clock.Millis),
		sound:     newSoundCounts(),
		own:       make(map[ServerStart]notedCrash),
		peers:     make(map[ServerStart]notedCrash),
		active:    make(map[Part]Quarantine),
		inStore:   make(map[Part]bool),
		released:  make(map[Part]clock.Millis),
		triedAt:   make(map[Part]clock.Millis),
	}
}

// Blocked returns the quarantine among those of the segments that lasts longest. It returns
// false if there is none.
func (t *Tracker) Blocked(segments []Part) (Quarantine, bool) {
	blocked := t.blocked.Load()
	if blocked == nil {
		return Quarantine{}, false
	}
	longest, found := Quarantine{}, false
	for _, segment := range segments {
		if q, ok := (*blocked)[segment]; ok && (!found || q.TrialAt() > longest.TrialAt()) {
			longest, found = q, true
		}
	}
	return longest, found
}

// TryTrial reports whether a request with the segments, some of which are quarantined, is
// let through on trial.
func (t *Tracker) TryTrial(segments []Part, now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, segment := range segments {
		q, ok := t.active[segment]
		if !ok {
			continue
		}
		if now < q.TrialAt() || t.evidence.Owns == nil {
			return false
		}
		turn := (now - q.TrialAt()) / trialTurn
		if t.triedAt[segment] >= q.TrialAt()+turn*trialTurn || !t.evidence.Owns(segment, int(turn)) {
			return false
		}
	}
	for _, segment := range segments {
		if _, ok := t.active[segment]; ok {
			t.triedAt[segment] = now
		}
	}
	return true
}

// Own returns the evidence of this daemon: its crashes, and its sound runs with the segments
// that are suspected by any daemon.
func (t *Tracker) Own(now clock.Millis) ([]Crash, []SoundRuns) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	var crashes []Crash
	for _, c := range t.own {
		if c.Age = now - c.at; c.Age < reportTime {
			crashes = append(crashes, c.Crash)
		}
	}
	var sound []SoundRuns
	for segment := range t.suspected(t.joined(now)) {
		if s, ok := t.sound.recent(segment, now); ok {
			sound = append(sound, s)
		}
	}
	return crashes, sound
}

// Update replaces what the other daemons and the store know, and returns what changed.
// Crashes that a peer no longer reports are remembered as long as this daemon's own.
func (t *Tracker) Update(e Evidence, now clock.Millis) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetEnded(now)
	t.evidence = e
	for _, c := range e.Crashes {
		old, known := t.peers[c.Server]
		if !known {
			old = notedCrash{c, now - c.Age}
		}
		old.Crash = c.Merge(old.Crash)
		t.peers[c.Server] = old
	}
	t.prune(now)
	return t.evaluate(now)
}

// prune forgets what is too old, and the oldest crashes beyond maxCrashes. t.mu must be
// held.
func (t *Tracker) prune(now clock.Millis) {
	for _, crashes := range []map[ServerStart]notedCrash{t.own, t.peers} {
		maps.DeleteFunc(crashes, func(_ ServerStart, c notedCrash) bool { return now-c.at >= crashMemory })
		if excess := len(crashes) - maxCrashes; excess > 0 {
			oldest := slices.SortedFunc(maps.Keys(crashes), func(a, b ServerStart) int { return cmp.Compare(crashes[a].at, crashes[b].at) })
			for _, server := range oldest[:excess] {
				delete(crashes, server)
			}
		}
	}
	maps.DeleteFunc(t.nextCheck, func(_ ServerStart, at clock.Millis) bool { return now >= at })
	maps.DeleteFunc(t.released, func(_ Part, at clock.Millis) bool { return now-at >= releaseMemory })
	maps.DeleteFunc(t.triedAt, func(segment Part, _ clock.Millis) bool {
		_, ok := t.active[segment]
		return !ok
	})
}

// joined returns the crashes that any daemon has noted, with their ages. t.mu must be held.
func (t *Tracker) joined(now clock.Millis) []Crash {
	all := make(map[ServerStart]Crash, len(t.own)+len(t.peers))
	for _, crashes := range []map[ServerStart]notedCrash{t.own, t.peers} {
		for server, c := range crashes {
			c.Age = now - c.at
			if other, ok := all[server]; ok {
				c.Crash = c.Merge(other)
			}
			all[server] = c.Crash
		}
	}
	return slices.Collect(maps.Values(all))
}

// suspected returns the segments that recur in the noted crashes and those quarantined. t.mu
// must be held.
func (t *Tracker) suspected(crashes []Crash) map[Part]bool {
	suspected := make(map[Part]bool)
	for segment := range t.active {
		suspected[segment] = true
	}
	seenIn := make(map[Part]ServerStart)
	for _, c := range crashes {
		for _, suspect := range c.Suspects {
			for _, segment := range suspect {
				if other, seen := seenIn[segment]; seen && other != c.Server {
					suspected[segment] = true
				}
				seenIn[segment] = c.Server
			}
		}
	}
	return suspected
}
