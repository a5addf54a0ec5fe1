package simulation

import "math/rand/v2"

// Version is a model of one version of a language model.
type Version struct {
	Name      string
	Cost      float64 // of an average answer
	Quality   float64 // share of good answers
	LatencyMs float64 // to a whole answer
}

// Answer is one answer with the confidence that its log probabilities show.
type Answer struct {
	Good       bool
	Confidence float64
}

// Sample makes an answer to a request of that difficulty. Good answers tend to
// show more confidence, and the two kinds overlap.
func (v Version) Sample(r *rand.Rand) Answer {
	good := r.Float64() < v.Quality
	mean := 0.82
	if !good {
		mean = 0.55
	}
	return Answer{Good: good, Confidence: min(max(mean+0.12*r.NormFloat64(), 0), 0.999)}
}
