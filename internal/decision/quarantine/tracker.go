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
	// minHold is how long a part is quarantined before a single request with it is let
	// through on trial. It doubles with each trial that crashes a server, up to maxHold.
	minHold = 60_000 * clock.Millis(1)
	maxHold = 1_800_000 * clock.Millis(1)
	// expiry is the time after the last trial fell due at which a quarantine ends for want of
	// requests.
	expiry = 3_600_000 * clock.Millis(1)
	// trialTurn is the time in which one daemon may let one request through. Then it is the
	// turn of the next daemon.
	trialTurn = 30_000 * clock.Millis(1)
	// releaseMemory is how long the record of a released part in the store is ignored.
	releaseMemory = 60_000 * clock.Millis(1)
	// reportTime is how long this daemon reports a crash: the others remember it.
	reportTime = 15_000 * clock.Millis(1)
	// maxQuarantined bounds the parts that are quarantined, and maxOfAccount the requests of
	// one client account among them.
	maxQuarantined = 256
	maxOfAccount   = 64
	// maxReportedSound bounds the parts whose sound runs are reported.
	maxReportedSound = 64
)

// Quarantine states since when a part is quarantined, and for how long until its trial.
type Quarantine struct {
	Since clock.Millis
	Hold  clock.Millis
}

// TrialAt returns when a request with the part is let through.
func (q Quarantine) TrialAt() clock.Millis { return q.Since + q.Hold }

// Change is the beginning, the extension or the end of a quarantine.
type Change struct {
	Part        Part
	Quarantined bool
	Quarantine  Quarantine
	Crashes     int     // that are known of
	Score       float64 // see Cause; 0 if the evidence is not this daemon's
	Reason      string
}

// Tracker holds the evidence of this daemon and its peers, and the parts quarantined by
// it. It is safe for concurrent use.
type Tracker struct {
	blocked atomic.Pointer[map[Part]Quarantine] // immutable copy of active

	mu        sync.Mutex
	startedAt clock.Millis // of the first run or update
	runs      map[ServerStart]map[*Run]bool
	started   uint64 // number of runs
	ended     []*Run // abandoned early; still in runs
	nextCheck map[ServerStart]clock.Millis
	sound     soundCounts
	own       map[ServerStart]notedCrash
	evidence  Evidence // of the last Update
	peers     map[ServerStart]notedCrash
	active    map[Part]Quarantine
	inStore   map[Part]bool // quarantined parts that the store had
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
	// Owns reports whether this daemon makes the trial of a part in the given turn, which
	// are numbered from 0. Each daemon has its turn.
	Owns func(part Part, turn int) bool
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

// Blocked returns the part that is quarantined longest. It returns false if there is none.
func (t *Tracker) Blocked(parts []Part) (Part, Quarantine, bool) {
	blocked := t.blocked.Load()
	if blocked == nil {
		return Part{}, Quarantine{}, false
	}
	longest, q, found := Part{}, Quarantine{}, false
	for _, part := range parts {
		if other, ok := (*blocked)[part]; ok && (!found || other.TrialAt() > q.TrialAt()) {
			longest, q, found = part, other, true
		}
	}
	return longest, q, found
}

// TryTrial reports whether a request with the parts, some of which are quarantined, is
// let through on trial.
func (t *Tracker) TryTrial(parts []Part, now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		q, ok := t.active[part]
		if !ok {
			continue
		}
		if now < q.TrialAt() || t.evidence.Owns == nil {
			return false
		}
		turn := (now - q.TrialAt()) / trialTurn
		if t.triedAt[part] >= q.TrialAt()+turn*trialTurn || !t.evidence.Owns(part, int(turn)) {
			return false
		}
	}
	for _, part := range parts {
		if _, ok := t.active[part]; ok {
			t.triedAt[part] = now
		}
	}
	return true
}

// Own returns the evidence of this daemon: its crashes, and its sound runs with the parts
// that are suspected by any daemon.
func (t *Tracker) Own(now clock.Millis) ([]Crash, []SoundRuns) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	joined := t.joined(now)
	suspected := t.suspected(joined)
	var crashes []Crash
	for _, c := range t.own {
		if c.Age = now - c.at; c.Age < reportTime {
			crashes = append(crashes, t.markRecurring(c.Crash, suspected, now))
		}
	}
	sound := t.ownSound(suspected, now)
	return LimitSuspects(crashes), sound[:min(len(sound), maxReportedSound)]
}

// markRecurring returns the crash with its suspects marked that recur. t.mu must be held.
func (t *Tracker) markRecurring(c Crash, suspected map[Part][]clock.Millis, now clock.Millis) Crash {
	c.Suspects = slices.Clone(c.Suspects)
	for i, s := range c.Suspects {
		c.Suspects[i].Recurs = slices.ContainsFunc(s.Parts, func(part Part) bool {
			_, answered := t.sound.recent(part, now)
			return len(suspected[part]) > 1 && !answered
		})
	}
	return c
}

// ownSound returns this daemon's sound runs with the suspected parts, those of most crashes
// first. t.mu must be held.
func (t *Tracker) ownSound(suspected map[Part][]clock.Millis, now clock.Millis) []SoundRuns {
	lasting := t.lasting(suspected, now)
	var sound []SoundRuns
	for part := range suspected {
		s, ok := t.sound.recent(part, now)
		s.Part, s.Lasting = part, lasting[part]
		if ok || s.Lasting > 0 {
			sound = append(sound, s)
		}
	}
	slices.SortFunc(sound, func(a, b SoundRuns) int { return cmp.Compare(len(suspected[b.Part]), len(suspected[a.Part])) })
	return sound
}

// lasting returns how many servers are still answering requests with each suspected part; see
// SoundRuns. t.mu must be held.
func (t *Tracker) lasting(suspected map[Part][]clock.Millis, now clock.Millis) map[Part]int {
	usual := make(map[Part]clock.Millis, len(suspected))
	for part, waits := range suspected {
		if len(waits) > 0 {
			usual[part] = usualWait(waits)
		}
	}
	type answer struct {
		server ServerStart
		part   Part
	}
	seen, counts := make(map[answer]bool), make(map[Part]int)
	for r := range t.liveRuns() {
		for _, part := range r.parts {
			wait, isSuspected := usual[part]
			lasts := isSuspected && r.begunAt > 0 && now-r.begunAt > wait
			if a := (answer{r.server, part}); lasts && !seen[a] {
				seen[a] = true
				counts[part]++
			}
		}
	}
	return counts
}

// Update replaces what the other daemons and the store know, and returns what changed.
// Crashes that a peer no longer reports are remembered as long as this daemon's own.
func (t *Tracker) Update(e Evidence, now clock.Millis) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteStart(now)
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

// noteStart sets the time at which the tracker's evidence begins. t.mu must be held.
func (t *Tracker) noteStart(now clock.Millis) {
	if t.startedAt == 0 {
		t.startedAt = now
	}
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
	maps.DeleteFunc(t.triedAt, func(part Part, _ clock.Millis) bool {
		_, ok := t.active[part]
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

// suspected returns the parts that recur in the noted crashes, with their waits, and those
// quarantined. t.mu must be held.
func (t *Tracker) suspected(crashes []Crash) map[Part][]clock.Millis {
	suspected := recurring(crashes, 2)
	for part := range t.active {
		if _, recurs := suspected[part]; !recurs {
			suspected[part] = nil
		}
	}
	return suspected
}
