package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// errorDay describes the errors of a simulated roll-out of 15 s on three routes.
type errorDay struct {
	canary   func(round, route, server int) float64 // error rate
	baseline func(round, route, server int) float64
}

// simulate returns the round in which the version is found failing, or -1, and the
// number of its answers until then. One of 25 answers of either version is slow, which
// counts as bad.
func (d errorDay) simulate(random *rand.Rand, finds func(c Comparison, proof criteria) bool) (foundIn, answers int) {
	const rounds, windows, routes, servers = 65, 15, 3, 9
	var now [routes]Comparison
	var past [][routes]Comparison
	add := func(s AnswerStats, name string, errorRate float64) AnswerStats {
		if random.Float64() < errorRate {
			return s.WithError(name)
		}
		return s.WithAnswer(name, random.Float64() < 0.04)
	}
	for round := range rounds {
		canary, baseline := 1, 8
		if round >= 45 {
			canary, baseline = 9, 0
		}
		for range canary {
			route, server := random.IntN(routes), random.IntN(servers)
			now[route].Canary = add(now[route].Canary, fmt.Sprintf("new-%d", server), d.canary(round, route, server))
		}
		for range baseline {
			route, server := random.IntN(routes), random.IntN(servers)
			now[route].Baseline = add(now[route].Baseline, fmt.Sprintf("old-%d", server), d.baseline(round, route, server))
		}
		answers += canary
		var sum Comparison
		for _, c := range now {
			sum = sum.Plus(c)
		}
		if finds(sum, poolCriteria) {
			return round, answers
		}
		for route, c := range now {
			if finds(c, routeCriteria) {
				return round, answers
			}
			for _, earlier := range past {
				if finds(c.Since(earlier[route]), recentCriteria) {
					return round, answers
				}
			}
		}
		past = append(past, now)
		past = past[max(len(past)-windows, 0):]
	}
	return -1, answers
}

func isBad(c Comparison, proof criteria) bool { return c.evaluate(proof) != Healthy }

func hasRaisedErrorRate(c Comparison, proof criteria) bool {
	return newEvidence([]Comparison{c}, errorTrials).raisedRatio() >= proof.rates
}

func constant(rate float64) func(int, int, int) float64 {
	return func(int, int, int) float64 { return rate }
}

// TestPartlyFailingVersion checks that a version which fails a small part of its requests
// is found before it exceeds what a bad version may get, 0.15 of the requests and 30 more.
func TestPartlyFailingVersion(t *testing.T) {
	const rollouts, allowed = 200, 0.15*65*9 + 30
	cases := map[string]errorDay{
		"three in twenty":                          {constant(0.15), constant(0)},
		"three in twenty, other version fails too": {constant(0.17), constant(0.02)},
		"three in twenty, after some seconds": {func(round, _, _ int) float64 {
			if round < 10 {
				return 0
			}
			return 0.15
		}, constant(0)},
		"three in ten of one route": {func(_, route, _ int) float64 {
			if route != 1 {
				return 0
			}
			return 0.3
		}, constant(0)},
	}
	for name, d := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(17, 0))
			late := 0
			for range rollouts {
				if foundIn, answers := d.simulate(random, isBad); foundIn < 0 || float64(answers) > allowed {
					late++
				}
			}
			assert.Assert(t, late <= rollouts/20, "%d of %d not found in time", late, rollouts)
		})
	}
}

// TestErrorsOfGoodVersions simulates 1,000 good versions, of which less than one in a
// hundred may be found to have a raised error rate.
func TestErrorsOfGoodVersions(t *testing.T) {
	const rollouts = 200
	faultyServers := func(round, _, server int) float64 {
		if server < 2 && round > 5 && round < 38 {
			return 0.45
		}
		return 0
	}
	outage := func(round, _, _ int) float64 {
		if round > 20 && round < 26 {
			return 0.3
		}
		return 0.005
	}
	hotRoute := func(_, route, _ int) float64 { return 0.02 * float64(route) }
	cases := map[string]errorDay{
		"calm":           {constant(0.01), constant(0.01)},
		"outage":         {outage, outage},
		"faulty servers": {faultyServers, constant(0)},
		"one route":      {hotRoute, hotRoute},
	}
	wrong := 0
	for name, d := range cases {
		random := rand.New(rand.NewPCG(19, uint64(len(name))))
		for range rollouts {
			foundIn, _ := d.simulate(random, hasRaisedErrorRate)
			if foundIn >= 0 {
				t.Logf("%s: found failing in round %d", name, foundIn)
				wrong++
			}
		}
	}
	assert.Assert(t, wrong < rollouts*len(cases)/100, "%d of %d good versions", wrong, rollouts*len(cases))
}
