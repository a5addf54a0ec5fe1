package rollout

import "math"

// TestParameters set the sequential test of a version's answers.
type TestParameters struct {
	GoodBadRate float64 // bad answers of an acceptable version
	PoorBadRate float64 // bad answers of a version to be closed
	Threshold   float64 // score at which the version is closed
}

// DefaultTest closes a version whose bad answers are three times as frequent
// as acceptable. The threshold is a log likelihood ratio.
func DefaultTest() TestParameters {
	return TestParameters{GoodBadRate: 0.12, PoorBadRate: 0.36, Threshold: 8}
}

// Score is the cumulative sum of the evidence against a version. It never
// falls below zero, so that a version which turns bad late is seen as soon as
// a new one. It is immutable.
type Score float64

// With returns the score after one more answer.
func (s Score) With(p TestParameters, good bool) Score {
	step := math.Log(p.PoorBadRate / p.GoodBadRate)
	if good {
		step = math.Log((1 - p.PoorBadRate) / (1 - p.GoodBadRate))
	}
	return Score(math.Max(0, float64(s)+step))
}

// WithAll returns the score after some more answers whose order isn't known.
func (s Score) WithAll(p TestParameters, good, bad int) Score {
	for range good {
		s = s.With(p, true)
	}
	for range bad {
		s = s.With(p, false)
	}
	return s
}

// Trips tells whether the score closes the version.
func (s Score) Trips(p TestParameters) bool { return float64(s) >= p.Threshold }
