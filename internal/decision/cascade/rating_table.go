package cascade

import "sync"

// NumBuckets of the answers' confidence.
const NumBuckets = 10

// Bucket returns the bucket of a confidence between 0 and 1.
func Bucket(confidence float64) int {
	return min(max(int(confidence*NumBuckets), 0), NumBuckets-1)
}

// RatingKey names what is counted.
type RatingKey struct {
	Route  string
	Class  string
	Model  string
	Bucket int
}

// Ratings is what the ratings said of a cell's answers.
type Ratings struct {
	Good float64
	Bad  float64
}

// Total returns the number of rated answers.
func (t Ratings) Total() float64 { return t.Good + t.Bad }

// GoodRate returns the share of good answers, drawn towards prior by priorWeight answers.
func (t Ratings) GoodRate(prior float64) float64 {
	return (t.Good + prior*priorWeight) / (t.Total() + priorWeight)
}

const priorWeight = 4

// RatingTable merges this daemon's counts with those of its peers. It is safe for
// concurrent use.
type RatingTable struct {
	mu    sync.Mutex
	own   map[RatingKey]Ratings
	peers map[string]map[RatingKey]Ratings
}

// NewRatingTable returns an empty table.
func NewRatingTable() *RatingTable {
	return &RatingTable{own: make(map[RatingKey]Ratings), peers: make(map[string]map[RatingKey]Ratings)}
}

// AddRating takes in one rating of this daemon's answers.
func (t *RatingTable) AddRating(cell RatingKey, good bool) {
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

// OwnCounts returns this daemon's counts, for its peers.
func (t *RatingTable) OwnCounts() []RatingCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]RatingCount, 0, len(t.own))
	for cell, tally := range t.own {
		counts = append(counts, RatingCount{Route: cell.Route, Class: cell.Class, Model: cell.Model, Bucket: cell.Bucket, Good: tally.Good, Bad: tally.Bad})
	}
	return counts
}

// SetPeerCounts replaces what is known of a peer's counts.
func (t *RatingTable) SetPeerCounts(member string, counts []RatingCount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cells := make(map[RatingKey]Ratings, len(counts))
	for _, c := range counts {
		cells[RatingKey{c.Route, c.Class, c.Model, c.Bucket}] = Ratings{c.Good, c.Bad}
	}
	t.peers[member] = cells
}

// Profile returns the counts of all daemons for one model on one route and class.
func (t *RatingTable) Profile(route, class, model string) Profile {
	t.mu.Lock()
	defer t.mu.Unlock()
	var p Profile
	for b := range NumBuckets {
		cell := RatingKey{route, class, model, b}
		p[b] = t.own[cell]
		for _, cells := range t.peers {
			p[b].Good += cells[cell].Good
			p[b].Bad += cells[cell].Bad
		}
	}
	return p
}
