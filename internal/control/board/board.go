package board

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/steer"
)

const (
	// loadLife is how long a report's loads count.
	loadLife = 2_000 * clock.Millis(1)
	// reportLife is how long its tallies count after the last report: a daemon
	// that has gone has still seen what it saw.
	reportLife = 60_000 * clock.Millis(1)
)

// Board holds what this daemon was told. It is safe for concurrent use.
type Board struct {
	clock clock.Clock

	mu      sync.Mutex
	own     Record
	hosts   map[string]held // reports of daemons of this data centre
	centres map[string]held // sums of other data centres
	others  *held           // sum of all others, by the daemon that this one reports to
	cached  *sum            // of all others; nil after a change
}

type held struct {
	Record
	at clock.Millis
}

// New returns a board that knows only its own daemon.
func New(c clock.Clock) *Board {
	return &Board{clock: c, hosts: make(map[string]held), centres: make(map[string]held)}
}

// SetOwn replaces what this daemon tells of itself.
func (b *Board) SetOwn(loads map[string]bearing.Load, tallies map[steer.Subject]rollout.AnswerStats, kept map[int64][]uint64) {
	r := Record{Loads: make(map[string]bearing.Load, len(loads)), Kept: kept}
	for id, load := range loads {
		if load.Calls > 0 {
			r.Loads[id] = load
		}
	}
	for subject, t := range tallies {
		r.Tallies = append(r.Tallies, Counted{subject, t})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own, b.cached = r, nil
}

// Own returns what this daemon tells of itself.
func (b *Board) Own() Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own
}

// DataCentre returns the sum of the data centre, as far as it reports here.
func (b *Board) DataCentre() Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum("", false).record()
}

// sum adds up this daemon's own record and what was reported here: without the
// named host, and with the other data centres if asked. The lock must be held.
func (b *Board) sum(without string, all bool) *sum {
	s := newSum()
	s.add(b.own, true)
	b.addReported(s, without, all)
	return s
}

// addReported adds what was reported here. The lock must be held.
func (b *Board) addReported(s *sum, without string, all bool) {
	now := b.clock.Now()
	add := func(list map[string]held) {
		for name, h := range list {
			if now-h.at >= reportLife {
				delete(list, name)
				continue
			}
			if name != without {
				s.add(h.Record, now-h.at < loadLife)
			}
		}
	}
	add(b.hosts)
	if all {
		add(b.centres)
	}
}

// Take takes in a report and returns what the reporter doesn't know: the sum of
// all others for a daemon, that of this data centre for another data centre.
func (b *Board) Take(r Report) Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cached = nil
	h := held{r.Record, b.clock.Now()}
	if r.IsDataCentre {
		b.centres[r.From] = h
		return b.sum("", false).record()
	}
	b.hosts[r.From] = h
	return b.sum(r.From, true).record()
}

// TakeOthers takes in the answer to a report of this daemon.
func (b *Board) TakeOthers(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.cached = &held{r, b.clock.Now()}, nil
}

// TakeDataCentre takes in the sum of another data centre.
func (b *Board) TakeDataCentre(name string, r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.centres[name], b.cached = held{r, b.clock.Now()}, nil
}

// known returns the sum of all other daemons. The lock must be held.
func (b *Board) known() *sum {
	if b.cached != nil {
		return b.cached
	}
	now := b.clock.Now()
	s := newSum()
	if b.others != nil && now-b.others.at < loadLife {
		s.add(b.others.Record, true)
	} else {
		b.addReported(s, "", true)
		if b.others != nil {
			s.add(Record{Kept: b.others.Kept}, false)
		}
	}
	b.cached = s
	return s
}

// Loads returns what the other daemons have under way, by server, as far as it
// was heard lately. Callers must not change it.
func (b *Board) Loads() map[string]bearing.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cached = nil // what was heard may have grown old
	return b.known().loads
}

// Compare returns, for each route, what all daemons have counted of a roll-out.
func (b *Board) Compare(pool string, order int64) map[string]rollout.Comparison {
	b.mu.Lock()
	defer b.mu.Unlock()
	routes := make(map[string]rollout.Comparison)
	add := func(subject steer.Subject, t rollout.AnswerStats) {
		if subject.Pool != pool || subject.Order != order {
			return
		}
		c := routes[subject.Route]
		if subject.Trial {
			c.Canary = c.Canary.Plus(t)
		} else {
			c.Baseline = c.Baseline.Plus(t)
		}
		routes[subject.Route] = c
	}
	for _, c := range b.own.Tallies {
		add(c.Subject, c.Tally)
	}
	for subject, t := range b.known().tallies {
		add(subject, t)
	}
	return routes
}

// IsKept tells whether another daemon keeps the session on an old version.
func (b *Board) IsKept(order int64, session uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known().kept[order][session]
}
