package board

import (
	"slices"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/steer"
)

// loadLife is how long another daemon's word of its load counts.
const loadLife = 2_000 * clock.Millis(1)

// Board holds the newest record of every daemon. It is safe for concurrent use.
type Board struct {
	clock   clock.Clock
	mu      sync.Mutex
	own     Record
	records map[string]held
}

type held struct {
	Record
	at clock.Millis
}

// New returns a board that knows only its own daemon.
func New(c clock.Clock, host string, incarnation int64) *Board {
	return &Board{clock: c, own: Record{Host: host, Incarnation: incarnation}, records: make(map[string]held)}
}

// SetOwn replaces what this daemon tells of itself.
func (b *Board) SetOwn(loads map[string]bearing.Load, tallies map[steer.Subject]rollout.Tally, kept map[int64][]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own.Sequence++
	b.own.Loads = make(map[string]bearing.Load, len(loads))
	for id, load := range loads {
		if load.Calls > 0 {
			b.own.Loads[id] = load
		}
	}
	b.own.Kept = kept
	b.own.Tallies = b.own.Tallies[:0:0]
	for subject, t := range tallies {
		b.own.Tallies = append(b.own.Tallies, Counted{subject, t})
	}
}

// MessageTo returns what a peer is told that has the given sequences; nil means
// that it isn't known what the peer has.
func (b *Board) MessageTo(has map[string]int64) Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := Message{From: b.own.Host, Records: []Record{b.own}, Has: map[string]int64{b.own.Host: b.own.Sequence}}
	now := b.clock.Now()
	for host, r := range b.records {
		m.Has[host] = r.Sequence
		if now-r.at < loadLife && has != nil && has[host] < r.Sequence {
			m.Records = append(m.Records, r.Record)
		}
	}
	return m
}

// Take takes in what a peer told.
func (b *Board) Take(m Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, r := range m.Records {
		if r.Host == b.own.Host || r.Host == "" {
			continue
		}
		if old, ok := b.records[r.Host]; !ok || r.isNewer(old.Record) {
			b.records[r.Host] = held{r, now}
		}
	}
}

// Loads returns what the other daemons have under way, by server, as far as it
// was heard lately.
func (b *Board) Loads() map[string]bearing.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	loads := make(map[string]bearing.Load)
	for _, r := range b.records {
		if now-r.at >= loadLife {
			continue
		}
		for id, load := range r.Loads {
			loads[id] = loads[id].Plus(load)
		}
	}
	return loads
}

// Compare returns, for each route, what all daemons have counted of a roll-out.
// Counts of daemons that are gone stay.
func (b *Board) Compare(pool string, order int64) map[string]rollout.Comparison {
	b.mu.Lock()
	defer b.mu.Unlock()
	routes := make(map[string]rollout.Comparison)
	add := func(list []Counted) {
		for _, c := range list {
			if c.Subject.Pool != pool || c.Subject.Order != order {
				continue
			}
			sum := routes[c.Subject.Route]
			if c.Subject.Trial {
				sum.Trial = sum.Trial.Plus(c.Tally)
			} else {
				sum.Rest = sum.Rest.Plus(c.Tally)
			}
			routes[c.Subject.Route] = sum
		}
	}
	add(b.own.Tallies)
	for _, r := range b.records {
		add(r.Tallies)
	}
	return routes
}

// IsKept tells whether another daemon keeps the session on an old version.
func (b *Board) IsKept(order int64, session uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.records {
		if slices.Contains(r.Kept[order], session) {
			return true
		}
	}
	return false
}

// Live returns how many daemons were heard of lately, this one included.
func (b *Board) Live() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, n := b.clock.Now(), 1
	for _, r := range b.records {
		if now-r.at < loadLife {
			n++
		}
	}
	return n
}
