package measure

import (
	"math/rand/v2"

	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
)

const (
	rolloutDaemons  = 7
	rolloutRequests = 20_000
	rolloutRate     = 50   // requests a second
	rolloutDelayS   = 5    // until a rating comes
	handDelayS      = 120  // until an operator looks and withdraws
	canaryShare     = 0.05 // of new work
	goodBadRate     = 0.12
	poorBadRate     = 0.40
	gossipS         = 0.3
)

// badVersion counts requests that a bad canary gets until the last daemon
// stops, and false alarms on a good canary.
func badVersion(policy string, seed uint64) map[string]float64 {
	exposed, closedAt := runCanary(policy, seed, poorBadRate)
	_, falseAt := runCanary(policy, seed+1_000, goodBadRate)
	falseAlarm := 0.0
	if falseAt < rolloutRequests/rolloutRate {
		falseAlarm = 1
	}
	return map[string]float64{"exposed": float64(exposed), "closed_after_s": closedAt, "false_alarms": falseAlarm}
}

type rated struct {
	at     float64
	daemon int
	good   bool
}

func runCanary(policy string, seed uint64, badRate float64) (exposed int, closedAt float64) {
	r := rand.New(rand.NewPCG(seed, 3))
	test := rollout.DefaultCUSUMParameters()
	var scores testScores
	var pending []rated
	never := float64(rolloutRequests)
	stopAt := make([]float64, rolloutDaemons)
	for d := range stopAt {
		stopAt[d] = never
	}
	if policy == "operators_hand" && badRate == poorBadRate {
		for d := range stopAt {
			stopAt[d] = handDelayS
		}
	}
	for n := range rolloutRequests {
		now := float64(n) / rolloutRate
		for len(pending) > 0 && pending[0].at <= now {
			p := pending[0]
			pending = pending[1:]
			if policy == "operators_hand" {
				continue
			}
			scores.take(test, p)
			scores.trip(policy, test, p, stopAt)
		}
		d := r.IntN(rolloutDaemons)
		if now >= stopAt[d] || r.Float64() >= canaryShare {
			continue
		}
		exposed++
		pending = append(pending, rated{now + rolloutDelayS, d, r.Float64() >= badRate})
	}
	last := 0.0
	for _, at := range stopAt {
		last = max(last, at)
	}
	return exposed, last
}

// testScores is the test's score at each daemon, and over the answers of all.
type testScores struct {
	alone  [rolloutDaemons]rollout.Score
	merged rollout.Score
}

func (s *testScores) take(test rollout.CUSUMParameters, r rated) {
	s.alone[r.daemon] = s.alone[r.daemon].With(test, r.good)
	s.merged = s.merged.With(test, r.good)
}

// trip stops the daemon that saw it at once, and the others a gossip period
// later. "alone" lets each daemon go by its own ratings.
func (s *testScores) trip(policy string, test rollout.CUSUMParameters, r rated, stopAt []float64) {
	if policy == "alone" {
		if s.alone[r.daemon].Trips(test) {
			stopAt[r.daemon] = min(stopAt[r.daemon], r.at)
		}
		return
	}
	if !s.merged.Trips(test) {
		return
	}
	for d := range stopAt {
		stopAt[d] = min(stopAt[d], r.at+gossipS)
	}
}
