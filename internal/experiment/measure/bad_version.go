package measure

import (
	"math/rand/v2"

	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
)

const (
	rolloutDaemons  = 7
	rolloutRequests = 20_000
	rolloutRate     = 50   // requests per second
	ratingDelayS    = 5    // from an answer to its rating
	operatorDelayS  = 120  // until an operator withdraws the version
	canaryShare     = 0.05 // of new requests
	goodVersionRate = 0.12 // fraction of bad answers of a good version
	badVersionRate  = 0.40 // fraction of bad answers of a bad version
	gossipDelayS    = 0.3
)

// badVersion counts the requests that a bad canary gets until the last daemon stops sending
// it any, and the false alarms on a good canary.
func badVersion(policy string, seed uint64) map[string]float64 {
	exposed, closedAtS := runCanary(policy, seed, badVersionRate)
	_, falseAlarmAtS := runCanary(policy, seed+1_000, goodVersionRate)
	falseAlarm := 0.0
	if falseAlarmAtS < rolloutRequests/rolloutRate {
		falseAlarm = 1
	}
	return map[string]float64{"exposed": float64(exposed), "closed_after_s": closedAtS, "false_alarms": falseAlarm}
}

// delayedRating is a rating that the daemon gets at a later time.
type delayedRating struct {
	atS    float64
	daemon int
	good   bool
}

// runCanary simulates a canary with the given rate of bad answers. It returns the number of
// requests that the canary gets and the time at which the last daemon stops sending it any.
// If a daemon never stops, that time is beyond the end of the run.
func runCanary(policy string, seed uint64, badRate float64) (exposed int, closedAtS float64) {
	r := rand.New(rand.NewPCG(seed, 3))
	test := rollout.DefaultCUSUMParameters()
	var scores testScores
	var pending []delayedRating
	never := float64(rolloutRequests)
	stopAtS := make([]float64, rolloutDaemons)
	for d := range stopAtS {
		stopAtS[d] = never
	}
	if policy == "operators_hand" && badRate == badVersionRate {
		for d := range stopAtS {
			stopAtS[d] = operatorDelayS
		}
	}
	for n := range rolloutRequests {
		nowS := float64(n) / rolloutRate
		for len(pending) > 0 && pending[0].atS <= nowS {
			rating := pending[0]
			pending = pending[1:]
			if policy == "operators_hand" {
				continue
			}
			scores.add(test, rating)
			scores.stopDaemons(policy, test, rating, stopAtS)
		}
		d := r.IntN(rolloutDaemons)
		if nowS >= stopAtS[d] || r.Float64() >= canaryShare {
			continue
		}
		exposed++
		pending = append(pending, delayedRating{nowS + ratingDelayS, d, r.Float64() >= badRate})
	}
	last := 0.0
	for _, atS := range stopAtS {
		last = max(last, atS)
	}
	return exposed, last
}

// testScores holds the test's score over each daemon's own ratings and over all ratings.
type testScores struct {
	byDaemon [rolloutDaemons]rollout.Score
	merged   rollout.Score
}

func (s *testScores) add(test rollout.CUSUMParameters, rating delayedRating) {
	s.byDaemon[rating.daemon] = s.byDaemon[rating.daemon].With(test, rating.good)
	s.merged = s.merged.With(test, rating.good)
}

// stopDaemons updates the times at which the daemons stop if a score trips the test. With
// the policy "alone", each daemon stops at once on its own score. Otherwise all daemons stop
// a gossip delay after the merged score trips.
func (s *testScores) stopDaemons(policy string, test rollout.CUSUMParameters, rating delayedRating, stopAtS []float64) {
	if policy == "alone" {
		if s.byDaemon[rating.daemon].Trips(test) {
			stopAtS[rating.daemon] = min(stopAtS[rating.daemon], rating.atS)
		}
		return
	}
	if !s.merged.Trips(test) {
		return
	}
	for d := range stopAtS {
		stopAtS[d] = min(stopAtS[d], rating.atS+gossipDelayS)
	}
}
