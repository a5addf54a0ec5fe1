package rollout

import (
	"math"
	"math/rand/v2"
)

// CUSUMParameters configures the sequential test (CUSUM) for versions that give
// bad answers.
type CUSUMParameters struct {
	AcceptableBadRate   float64 // rate of bad answers of a good version
	UnacceptableBadRate float64 // rate of bad answers of a bad version
	Threshold           float64 // log likelihood ratio at which the version trips
}

// DefaultCUSUMParameters detects versions whose rate of bad answers is three
// times the acceptable rate.
func DefaultCUSUMParameters() CUSUMParameters {
	return CUSUMParameters{AcceptableBadRate: 0.12, UnacceptableBadRate: 0.36, Threshold: 8}
}

// Score is the CUSUM statistic of a version: the accumulated log likelihood
// ratio of the version being bad. It is never negative, so a version that turns
// bad late is detected as quickly as a new one. Immutable.
type Score float64

// With returns the score after one more answer.
func (s Score) With(p CUSUMParameters, good bool) Score {
	step := math.Log(p.UnacceptableBadRate / p.AcceptableBadRate)
	if good {
		step = math.Log((1 - p.UnacceptableBadRate) / (1 - p.AcceptableBadRate))
	}
	return Score(math.Max(0, float64(s)+step))
}

// WithAll returns the score after several answers whose order is unknown. They are counted
// one by one in an order drawn from all possible ones, so that the verdicts are as likely
// as those on single answers. The order depends on the arguments alone. The score at which
// the version trips is final.
func (s Score) WithAll(p CUSUMParameters, good, bad int) Score {
	order := rand.New(rand.NewPCG(math.Float64bits(float64(s)), uint64(good)<<32|uint64(bad)))
	for good+bad > 0 && !s.Trips(p) {
		isGood := order.IntN(good+bad) < good
		if isGood {
			good--
		} else {
			bad--
		}
		s = s.With(p, isGood)
	}
	return s
}

// Trips reports whether the score has reached the threshold. A version that trips must
// get no new work.
func (s Score) Trips(p CUSUMParameters) bool { return float64(s) >= p.Threshold }
