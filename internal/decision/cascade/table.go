package cascade

import "sync"

// Buckets of the answers' confidence.
const Buckets = 10

// Bucket returns the bucket of a confidence between 0 and 1.
func Bucket(confidence float64) int {
	return min(max(int(confidence*Buckets), 0), Buckets-1)
}

// Cell names what is counted.
type Cell struct {
	Route  string
	Class  string
	Model  string
	Bucket int
}

// Tally is what the ratings said of a cell's answers.
type Tally struct {
	Good float64
	Bad  float64
}

// N returns the number of rated answers.
func (t Tally) N() float64 { return t.Good + t.Bad }

// Rate returns the share of good answers, drawn towards prior by priorWeight answers.
func (t Tally) Rate(prior float64) float64 {
	return (t.Good + prior*priorWeight) / (t.N() + priorWeight)
}

const priorWeight = 4

// Table merges this daemon's counts with those of its peers. It is safe for
// concurrent use.
type Table struct {
	mu    sync.Mutex
	own   map[Cell]Tally
	peers map[string]map[Cell]Tally
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{own: make(map[Cell]Tally), peers: make(map[string]map[Cell]Tally)}
}

// Rate takes in one rating of this daemon's answers.
func (t *Table) Rate(cell Cell, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tally := t.own[cell]
	if good {
		tally.Good++
	} else {
		tally.Bad++
	}
	t.own[cell] = tally
}

// Own returns this daemon's counts, for its peers.
func (t *Table) Own() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]Count, 0, len(t.own))
	for cell, tally := range t.own {
		counts = append(counts, Count{Route: cell.Route, Class: cell.Class, Model: cell.Model, Bucket: cell.Bucket, Good: tally.Good, Bad: tally.Bad})
	}
	return counts
}

// SetPeer replaces what is known of a peer's counts.
func (t *Table) SetPeer(member string, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cells := make(map[Cell]Tally, len(counts))
	for _, c := range counts {
		cells[Cell{c.Route, c.Class, c.Model, c.Bucket}] = Tally{c.Good, c.Bad}
	}
	t.peers[member] = cells
}

// Profile returns the counts of all daemons for one model on one route and class.
func (t *Table) Profile(route, class, model string) Profile {
	t.mu.Lock()
	defer t.mu.Unlock()
	var p Profile
	for b := range Buckets {
		cell := Cell{route, class, model, b}
		p[b] = t.own[cell]
		for _, cells := range t.peers {
			p[b].Good += cells[cell].Good
			p[b].Bad += cells[cell].Bad
		}
	}
	return p
}
