package cascade

import "sync"

// NumBuckets is the number of buckets of an answer's confidence.
const NumBuckets = 10

// Bucket returns the bucket of a confidence from 0 to 1.
func Bucket(confidence float64) int {
	return min(max(int(confidence*NumBuckets), 0), NumBuckets-1)
}

// RatingKey identifies the answers whose ratings are counted together.
type RatingKey struct {
	Route  string
	Class  string
	Model  string
	Bucket int
}

// Ratings counts good and bad ratings.
type Ratings struct {
	Good float64
	Bad  float64
}

// Total returns the number of rated answers.
func (r Ratings) Total() float64 { return r.Good + r.Bad }

// GoodRate returns the share of good answers. The prior counts as much as
// priorWeight answers, so that a few ratings don't decide alone.
func (r Ratings) GoodRate(prior float64) float64 {
	return (r.Good + prior*priorWeight) / (r.Total() + priorWeight)
}

const priorWeight = 4

// RatingTable merges this daemon's ratings with those of its peers. Safe for
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

// AddRating counts a rating of one of this daemon's answers.
func (t *RatingTable) AddRating(key RatingKey, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ratings := t.own[key]
	if good {
		ratings.Good++
	} else {
		ratings.Bad++
	}
	t.own[key] = ratings
}

// OwnCounts returns this daemon's counts, which its peers pass to SetPeerCounts.
func (t *RatingTable) OwnCounts() []RatingCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]RatingCount, 0, len(t.own))
	for key, ratings := range t.own {
		counts = append(counts, RatingCount{Route: key.Route, Class: key.Class, Model: key.Model, Bucket: key.Bucket, Good: ratings.Good, Bad: ratings.Bad})
	}
	return counts
}

// SetPeerCounts replaces the counts of a peer.
func (t *RatingTable) SetPeerCounts(member string, counts []RatingCount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ratings := make(map[RatingKey]Ratings, len(counts))
	for _, c := range counts {
		ratings[RatingKey{c.Route, c.Class, c.Model, c.Bucket}] = Ratings{c.Good, c.Bad}
	}
	t.peers[member] = ratings
}

// Profile returns the ratings of all daemons for one model, route and class.
func (t *RatingTable) Profile(route, class, model string) Profile {
	t.mu.Lock()
	defer t.mu.Unlock()
	var p Profile
	for b := range NumBuckets {
		key := RatingKey{route, class, model, b}
		p[b] = t.own[key]
		for _, ratings := range t.peers {
			p[b].Good += ratings[key].Good
			p[b].Bad += ratings[key].Bad
		}
	}
	return p
}
