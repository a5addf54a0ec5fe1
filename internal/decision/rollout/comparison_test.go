package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// answers returns stats whose bad answers are spread over the given number of
// servers.
func answers(good, bad, servers int) AnswerStats {
	var s AnswerStats
	for range good {
		s = s.WithAnswer("engine-0", false)
	}
	for i := range bad {
		s = s.WithAnswer(fmt.Sprintf("engine-%d", i%max(servers, 1)), true)
	}
	return s
}

func latencies(n int, slowness float64) AnswerStats {
	var s AnswerStats
	for range n {
		s = s.WithSlowness(slowness)
	}
	return s
}

// TestEvaluate checks that a canary is found failing or slow after the few answers
// that it gives within seconds, and that chance and failures which the baseline
// shares do not count against it.
func TestEvaluate(t *testing.T) {
	cases := map[string]struct {
		routes []Comparison
		want   Finding
	}{
		"no answers":                    {nil, Healthy},
		"one failure":                   {[]Comparison{{answers(4, 1, 1), answers(50, 0, 1)}}, Healthy},
		"half fail on several servers":  {[]Comparison{{answers(3, 3, 3), answers(50, 0, 1)}}, Failing},
		"half fail on one server":       {[]Comparison{{answers(3, 3, 1), answers(50, 0, 1)}}, Healthy},
		"one route fails":               {[]Comparison{{answers(20, 0, 1), answers(50, 0, 1)}, {answers(0, 3, 3), answers(50, 0, 1)}}, Failing},
		"baseline fails as often":       {[]Comparison{{answers(17, 3, 3), answers(86, 14, 3)}}, Healthy},
		"eight times slower":            {[]Comparison{{latencies(5, 8), latencies(50, 1)}}, Slow},
		"slightly slower":               {[]Comparison{{latencies(20, 1.4), latencies(50, 1)}}, Healthy},
		"all fail, baseline too":        {[]Comparison{{answers(0, 6, 3), answers(0, 20, 3)}}, Healthy},
		"fails after many good answers": {[]Comparison{{answers(40, 12, 6), answers(200, 2, 2)}}, Failing},
		"three in a hundred fail":       {[]Comparison{{answers(97, 3, 3), answers(400, 8, 3)}}, Healthy},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			found := Healthy
			for _, route := range c.routes {
				if found == Healthy {
					found = route.Evaluate()
				}
			}
			assert.Equal(t, found, c.want)
		})
	}
}

// TestSlowRecently evaluates the newest answers many times, with slowness that
// varies by a factor of e. Versions that are alike must not be found slow by chance,
// and a slow one must be found.
func TestSlowRecently(t *testing.T) {
	const rounds = 3_000 // 15 windows on 3 routes for 13 s
	cases := map[string]struct {
		slowness float64
		answers  int
		want     Finding
		minShare float64 // of the rounds with the wanted finding
	}{
		"alike, few answers":  {1, 11, Healthy, 0.999},
		"alike, many answers": {1, 60, Healthy, 0.999},
		"five times slower":   {5, 60, Slow, 0.99},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 0))
			matches := 0
			for range rounds {
				var compared Comparison
				for range c.answers {
					compared.Canary = compared.Canary.WithSlowness(c.slowness * math.Exp(random.NormFloat64()))
				}
				compared.Baseline = latencies(600, 1)
				if compared.EvaluateRecent() == c.want {
					matches++
				}
			}
			assert.Assert(t, float64(matches) >= c.minShare*rounds, "%d of %d rounds", matches, rounds)
		})
	}
}

// TestBusyAfterHandOver checks that a version whose answers take longer once it has all
// requests is not compared with what the other version did at a lower load.
func TestBusyAfterHandOver(t *testing.T) {
	earlier := Comparison{Canary: latencies(300, 0.3), Baseline: latencies(2_000, 0.3)}
	queued := Comparison{Canary: latencies(50, 4)}
	assert.Equal(t, earlier.Plus(queued).Since(earlier).EvaluateRecent(), Healthy)
	queued.Baseline = latencies(50, 0.3)
	assert.Equal(t, earlier.Plus(queued).Since(earlier).EvaluateRecent(), Slow)
}

// simulateRollout simulates the answers of a roll-out that is evaluated every
// 200 ms. It returns the round in which the canary is found bad, or -1, and the
// canary's bad answers until then.
func simulateRollout(random *rand.Rand, rounds int, badRates func(round int) (canary, baseline float64)) (foundIn, badAnswers int) {
	const windows = 15
	var now Comparison
	var past []Comparison
	answer := func(s AnswerStats, n int, badRate float64) AnswerStats {
		for range n {
			s = s.WithAnswer(fmt.Sprintf("engine-%d", random.IntN(9)), random.Float64() < badRate)
		}
		return s
	}
	for round := range rounds {
		canary, baseline := badRates(round)
		n, others := 1, 9
		if round >= rounds*70/100 {
			n, others = 10, 0 // all requests go to the new version
		}
		now.Canary, now.Baseline = answer(now.Canary, n, canary), answer(now.Baseline, others, baseline)
		if now.Evaluate() != Healthy {
			return round, now.Canary.Bad
		}
		for _, earlier := range past {
			if now.Since(earlier).EvaluateRecent() != Healthy {
				return round, now.Canary.Bad
			}
		}
		past = append(past, now)
		past = past[max(len(past)-windows, 0):]
	}
	return -1, now.Canary.Bad
}

// TestRollouts simulates whole roll-outs. Good versions must complete, although a few
// answers always fail and more fail during an outage of a second. Bad versions must be
// found before 50 bad answers: after more, the requests to them exceed the limit that
// the users have set.
func TestRollouts(t *testing.T) {
	const rollouts, rounds = 400, 110
	cases := map[string]struct {
		badRates func(round int) (canary, baseline float64)
		isBad    bool
		maxWrong int // of the roll-outs
	}{
		"good, five in a hundred fail": {func(int) (float64, float64) { return 0.05, 0.05 }, false, rollouts / 50},
		"good, early outage": {func(round int) (float64, float64) {
			if round > 20 && round < 26 {
				return 0.3, 0.3
			}
			return 0.04, 0.04
		}, false, rollouts / 50},
		"good, outage once it has all requests": {func(round int) (float64, float64) {
			if round > 85 && round < 91 {
				return 0.15, 0.15
			}
			return 0.04, 0.04
		}, false, rollouts / 10},
		"bad from the start": {func(int) (float64, float64) { return 0.45, 0.04 }, true, 0},
		"bad once it has all requests": {func(round int) (float64, float64) {
			if round > 75 {
				return 0.45, 0.04
			}
			return 0.04, 0.04
		}, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 0))
			wrong, mostBad := 0, 0
			for range rollouts {
				foundIn, badAnswers := simulateRollout(random, rounds, c.badRates)
				if (foundIn >= 0) != c.isBad {
					wrong++
				}
				mostBad = max(mostBad, badAnswers)
			}
			assert.Assert(t, wrong <= c.maxWrong, "%d of %d roll-outs", wrong, rollouts)
			assert.Assert(t, !c.isBad || mostBad < 50, "%d bad answers", mostBad)
		})
	}
}

func ExampleShareAt() {
	for _, progress := range []float64{0, 0.49, 0.5, 0.6, 0.7} {
		fmt.Print(ShareAt(progress, 0.15), " ")
	}
	// Output: 0.09 0.09 0.25 0.5 1
}
