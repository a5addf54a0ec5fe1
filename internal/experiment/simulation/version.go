package simulation

import "math/rand/v2"

// Version simulates a version of a language model.
type Version struct {
	Name      string
	Cost      float64 // mean cost of an answer
	Quality   float64 // fraction of good answers
	LatencyMs float64 // until the answer is complete
}

// Answer is a simulated answer. Confidence is in [0, 1), as derived from the log
// probabilities of a real answer.
type Answer struct {
	Good       bool
	Confidence float64
}

// Sample draws an answer at random. Good answers have a higher mean confidence than bad ones,
// but the two distributions overlap.
func (v Version) Sample(r *rand.Rand) Answer {
	good := r.Float64() < v.Quality
	mean := 0.82
	if !good {
		mean = 0.55
	}
	return Answer{Good: good, Confidence: min(max(mean+0.12*r.NormFloat64(), 0), 0.999)}
}
