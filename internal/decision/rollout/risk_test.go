package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// served returns the stats of answers of a route with some errors and some slow answers,
// spread over three servers.
func served(random *rand.Rand, n, errors, slow int) AnswerStats {
	var s AnswerStats
	for i := range n {
		server := fmt.Sprintf("server-%d", i%3)
		s = s.WithSent()
		if i < errors {
			s = s.WithError(server)
			continue
		}
		ms := 15 * math.Exp(random.NormFloat64()*0.45)
		if i-errors < slow {
			ms *= 8
		}
		s = s.WithAnswer(server, false).WithLatency(server, clock.Millis(ms))
	}
	return s
}

// TestFewSlowAnswersShow guards against a version some of whose answers take eight times as
// long: their mean is hardly higher, and they are no slower than other pools' answers.
func TestFewSlowAnswersShow(t *testing.T) {
	random := rand.New(rand.NewPCG(49, 1))
	baseline := served(random, 200, 0, 0)
	for slow, want := range map[int]Finding{0: Healthy, 1: Healthy, 7: Slow} {
		assert.Equal(t, Comparison{served(random, 45, 0, slow), baseline}.Evaluate(), want, "%d slow answers", slow)
	}
}

// TestShortAnswersAreNotSlow checks that answers of a few ms aren't slow for taking a longer
// path.
func TestShortAnswersAreNotSlow(t *testing.T) {
	var canary, baseline AnswerStats
	for i := range 60 {
		server := fmt.Sprintf("server-%d", i%3)
		baseline = baseline.WithAnswer("", false).WithLatency("", clock.Millis(1+i%4))
		canary = canary.WithAnswer(server, false).WithLatency(server, clock.Millis(1+8*(i%2)))
	}
	assert.Equal(t, Comparison{canary, baseline}.Evaluate(), Healthy)
}

// TestFaultyServersOfGoodVersion checks that the errors of one of three servers count against
// that server, also on a route that all servers fail at times.
func TestFaultyServersOfGoodVersion(t *testing.T) {
	var canary, baseline AnswerStats
	for i := range 60 {
		server := i % 3
		isError := i%20 == server || (server == 0 && i%2 == 0)
		if name := fmt.Sprintf("server-%d", server); isError {
			canary = canary.WithError(name)
		} else {
			canary = canary.WithAnswer(name, false)
		}
	}
	for i := range 200 {
		if i%20 == 0 {
			baseline = baseline.WithError("")
		} else {
			baseline = baseline.WithAnswer("", false)
		}
	}
	assert.Equal(t, EvaluatePool([]Comparison{{canary, baseline}}), Healthy)
}

// TestRisk checks that only answers lower the risk of a version: not the passing of time,
// not answers on other routes, and not old ones of a version that has turned bad.
func TestRisk(t *testing.T) {
	random := rand.New(rand.NewPCG(49, 2))
	route := func(canary AnswerStats) Comparison { return Comparison{canary, served(random, 150, 0, 0)} }
	good, none := served(random, 60, 0, 0), AnswerStats{}
	cases := map[string]struct {
		all, recent map[string]Comparison
		acceptable  bool
	}{
		"nothing known":      {nil, nil, false},
		"no answers":         {map[string]Comparison{"a": route(none)}, map[string]Comparison{"a": route(none)}, false},
		"good":               {map[string]Comparison{"a": route(good)}, map[string]Comparison{"a": route(good)}, true},
		"no recent ones":     {map[string]Comparison{"a": route(good)}, map[string]Comparison{"a": route(none)}, false},
		"recent errors":      {map[string]Comparison{"a": route(good)}, map[string]Comparison{"a": route(served(random, 20, 3, 0))}, false},
		"one route unproven": {map[string]Comparison{"a": route(good), "b": route(none)}, map[string]Comparison{"a": route(good), "b": route(none)}, false},
		"slow answers":       {map[string]Comparison{"a": route(served(random, 45, 0, 6))}, map[string]Comparison{"a": route(good)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			risk := AssessRisk(c.all, c.recent)
			assert.Equal(t, risk.Acceptable(), c.acceptable, "risk %.3f", risk.Expected)
		})
	}
}

// TestRouteFactors checks that test requests go to the routes that tell most, and that their
// number stays that of the share.
func TestRouteFactors(t *testing.T) {
	requests := map[string]int{"post": 90, "read": 60, "probe": 50}
	factors := RouteFactors(map[string]float64{"post": 1, "read": 0.3}, requests)
	sum := 0.0
	for route, n := range requests {
		sum += factors[route] * float64(n)
	}
	assert.Assert(t, math.Abs(sum-200) < 1e-9, "%.3f requests", sum)
	assert.Assert(t, factors["post"] > 1 && factors["read"] < factors["post"])
}
