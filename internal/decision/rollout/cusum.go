package rollout

import "math"

// CUSUMParameters set the sequential test of a version's answers.
type CUSUMParameters struct {
	AcceptableBadRate   float64 // bad answers of an acceptable version
	UnacceptableBadRate float64 // bad answers of a version to be closed
	Threshold           float64 // score at which the version is closed
}

// DefaultCUSUMParameters closes a version whose bad answers are three times as frequent
// as acceptable. The threshold is a log likelihood ratio.
func DefaultCUSUMParameters() CUSUMParameters {
	return CUSUMParameters{AcceptableBadRate: 0.12, UnacceptableBadRate: 0.36, Threshold: 8}
}

// Score is the cumulative sum of the evidence against a version. It never
// falls below zero, so that a version which turns bad late is seen as soon as
// a new one. It is immutable.
type Score float64

// With returns the score after one more answer.
func (s Score) With(p CUSUMParameters, good bool) Score {
	step := math.Log(p.UnacceptableBadRate / p.AcceptableBadRate)
	if good {
		step = math.Log((1 - p.UnacceptableBadRate) / (1 - p.AcceptableBadRate))
	}
	return Score(math.Max(0, float64(s)+step))
}

// WithAll returns the score after some more answers whose order isn't known.
func (s Score) WithAll(p CUSUMParameters, good, bad int) Score {
	for range good {
		s = s.With(p, true)
	}
	for range bad {
		s = s.With(p, false)
	}
	return s
}

// Trips tells whether the score closes the version.
func (s Score) Trips(p CUSUMParameters) bool { return float64(s) >= p.Threshold }
