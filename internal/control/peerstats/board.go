package peerstats

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
)

const (
	// loadLife is how long a report's loads count.
	loadLife = 2_000 * clock.Millis(1)
	// reportLife is how long its tallies count after the last report: a daemon
	// that has gone has still seen what it saw.
	reportLife = 60_000 * clock.Millis(1)
)

// Aggregator holds what this daemon was told. It is safe for concurrent use.
type Aggregator struct {
	clock clock.Clock

	mu      sync.Mutex
	own     Snapshot
	hosts   map[string]held // reports of daemons of this data centre
	centres map[string]held // sums of other data centres
	others  *held           // sum of all others, by the daemon that this one reports to
	cached  *sum            // of all others; nil after a change
}

type held struct {
	Snapshot
	at clock.Millis
}

// New returns a board that knows only its own daemon.
func New(c clock.Clock) *Aggregator {
	return &Aggregator{clock: c, hosts: make(map[string]held), centres: make(map[string]held)}
}

// SetOwn replaces what this daemon tells of itself.
func (b *Aggregator) SetOwn(loads map[string]loadbalance.Load, tallies map[versionrouting.AnswerStatsKey]rollout.AnswerStats, kept map[int64][]uint64) {
	r := Snapshot{Loads: make(map[string]loadbalance.Load, len(loads)), PinnedSessions: kept}
	for id, load := range loads {
		if load.Calls > 0 {
			r.Loads[id] = load
		}
	}
	for subject, t := range tallies {
		r.AnswerStats = append(r.AnswerStats, AnswerStatsEntry{subject, t})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own, b.cached = r, nil
}

// Own returns what this daemon tells of itself.
func (b *Aggregator) Own() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own
}

// DataCentreTotal returns the sum of the data centre, as far as it reports here.
func (b *Aggregator) DataCentreTotal() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum("", false).record()
}

// sum adds up this daemon's own record and what was reported here: without the
// named host, and with the other data centres if asked. The lock must be held.
func (b *Aggregator) sum(without string, all bool) *sum {
	s := newSum()
	s.add(b.own, true)
	b.addReported(s, without, all)
	return s
}

// addReported adds what was reported here. The lock must be held.
func (b *Aggregator) addReported(s *sum, without string, all bool) {
	now := b.clock.Now()
	add := func(list map[string]held) {
		for name, h := range list {
			if now-h.at >= reportLife {
				delete(list, name)
				continue
			}
			if name != without {
				s.add(h.Snapshot, now-h.at < loadLife)
			}
		}
	}
	add(b.hosts)
	if all {
		add(b.centres)
	}
}

// HandleReport takes in a report and returns what the reporter doesn't know: the sum of
// all others for a daemon, that of this data centre for another data centre.
func (b *Aggregator) HandleReport(r Report) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cached = nil
	h := held{r.Snapshot, b.clock.Now()}
	if r.IsDataCentre {
		b.centres[r.From] = h
		return b.sum("", false).record()
	}
	b.hosts[r.From] = h
	return b.sum(r.From, true).record()
}

// SetPeerTotal takes in the answer to a report of this daemon.
func (b *Aggregator) SetPeerTotal(r Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.cached = &held{r, b.clock.Now()}, nil
}

// SetDataCentreTotal takes in the sum of another data centre.
func (b *Aggregator) SetDataCentreTotal(name string, r Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.centres[name], b.cached = held{r, b.clock.Now()}, nil
}

// known returns the sum of all other daemons. The lock must be held.
func (b *Aggregator) known() *sum {
	if b.cached != nil {
		return b.cached
	}
	now := b.clock.Now()
	s := newSum()
	if b.others != nil && now-b.others.at < loadLife {
		s.add(b.others.Snapshot, true)
	} else {
		b.addReported(s, "", true)
		if b.others != nil {
			s.add(Snapshot{PinnedSessions: b.others.PinnedSessions}, false)
		}
	}
	b.cached = s
	return s
}

// PeerLoads returns what the other daemons have under way, by server, as far as it
// was heard lately. Callers must not change it.
func (b *Aggregator) PeerLoads() map[string]loadbalance.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cached = nil // what was heard may have grown old
	return b.known().loads
}

// CompareVersions returns, for each route, what all daemons have counted of a roll-out.
func (b *Aggregator) CompareVersions(pool string, order int64) map[string]rollout.Comparison {
	b.mu.Lock()
	defer b.mu.Unlock()
	routes := make(map[string]rollout.Comparison)
	add := func(subject versionrouting.AnswerStatsKey, t rollout.AnswerStats) {
		if subject.Pool != pool || subject.OrderVersion != order {
			return
		}
		c := routes[subject.Route]
		if subject.Canary {
			c.Canary = c.Canary.Plus(t)
		} else {
			c.Baseline = c.Baseline.Plus(t)
		}
		routes[subject.Route] = c
	}
	for _, c := range b.own.AnswerStats {
		add(c.Key, c.Stats)
	}
	for subject, t := range b.known().tallies {
		add(subject, t)
	}
	return routes
}

// IsPinned tells whether another daemon keeps the session on an old version.
func (b *Aggregator) IsPinned(order int64, session uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known().kept[order][session]
}
