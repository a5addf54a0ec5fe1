package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func tally(good, bad, servers int) AnswerStats {
	var t AnswerStats
	for range good {
		t = t.WithAnswer("engine-0", false)
	}
	for i := range bad {
		t = t.WithAnswer(fmt.Sprintf("engine-%d", i%max(servers, 1)), true)
	}
	return t
}

func timed(n int, slowness float64) AnswerStats {
	var t AnswerStats
	for range n {
		t = t.WithSlowness(slowness)
	}
	return t
}

// TestJudge sets what a few seconds of a trial show against the other version.
func TestJudge(t *testing.T) {
	cases := map[string]struct {
		routes []Comparison
		want   Finding
	}{
		"nothing seen":                    {nil, Healthy},
		"one failure":                     {[]Comparison{{tally(4, 1, 1), tally(50, 0, 1)}}, Healthy},
		"half fails on several servers":   {[]Comparison{{tally(3, 3, 3), tally(50, 0, 1)}}, Failing},
		"half fails on one server":        {[]Comparison{{tally(3, 3, 1), tally(50, 0, 1)}}, Healthy},
		"one route fails":                 {[]Comparison{{tally(20, 0, 1), tally(50, 0, 1)}, {tally(0, 3, 3), tally(50, 0, 1)}}, Failing},
		"as many fail elsewhere":          {[]Comparison{{tally(17, 3, 3), tally(86, 14, 3)}}, Healthy},
		"eight times slower":              {[]Comparison{{timed(5, 8), timed(50, 1)}}, Slow},
		"a little slower":                 {[]Comparison{{timed(20, 1.4), timed(50, 1)}}, Healthy},
		"all fail, the rest fails too":    {[]Comparison{{tally(0, 6, 3), tally(0, 20, 3)}}, Healthy},
		"turns bad after many good ones":  {[]Comparison{{tally(40, 12, 6), tally(200, 2, 2)}}, Failing},
		"three in a hundred, many answer": {[]Comparison{{tally(97, 3, 3), tally(400, 8, 3)}}, Healthy},
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

// TestSlowLately looks at the newest answers, which vary by a factor of e, again and
// again: load makes versions differ by chance, and one that is slow must be found.
func TestSlowLately(t *testing.T) {
	const looks = 3_000 // 15 windows on 3 routes for 13 s
	cases := map[string]struct {
		slower   float64
		answers  int
		want     Finding
		mostlyBy float64 // share of the looks
	}{
		"alike, few answers":  {1, 11, Healthy, 0.999},
		"alike, many answers": {1, 60, Healthy, 0.999},
		"five times slower":   {5, 60, Slow, 0.99},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chance := rand.New(rand.NewPCG(3, 0))
			as := 0
			for range looks {
				var compared Comparison
				for range c.answers {
					compared.Canary = compared.Canary.WithSlowness(c.slower * math.Exp(chance.NormFloat64()))
				}
				compared.Baseline = timed(600, 1)
				if compared.EvaluateRecent() == c.want {
					as++
				}
			}
			assert.Assert(t, float64(as) >= c.mostlyBy*looks, "%d of %d looks", as, looks)
		})
	}
}

// trialDay replays a roll-out's answers, a look each 200 ms, and returns at which look
// the version on trial is found bad, or -1, with its bad answers until then.
func trialDay(chance *rand.Rand, looks int, bad func(look int) (trial, rest float64)) (found, badAnswers int) {
	const windows = 15
	var now Comparison
	var past []Comparison
	answer := func(t AnswerStats, n int, share float64) AnswerStats {
		for range n {
			t = t.WithAnswer(fmt.Sprintf("engine-%d", chance.IntN(9)), chance.Float64() < share)
		}
		return t
	}
	for look := range looks {
		trial, rest := bad(look)
		n, others := 1, 9
		if look >= looks*70/100 {
			n, others = 10, 0 // all requests go to the new version
		}
		now.Canary, now.Baseline = answer(now.Canary, n, trial), answer(now.Baseline, others, rest)
		if now.Evaluate() != Healthy {
			return look, now.Canary.Bad
		}
		for _, before := range past {
			if now.Since(before).EvaluateRecent() != Healthy {
				return look, now.Canary.Bad
			}
		}
		past = append(past, now)
		past = past[max(len(past)-windows, 0):]
	}
	return -1, now.Canary.Bad
}

// TestTrialDays replays whole roll-outs: good versions must be completed, though a few
// answers fail all the time and more do in a spell of a second, and bad ones closed
// before the 50 bad answers after which requests to them break the users' bound.
func TestTrialDays(t *testing.T) {
	const days, looks = 400, 110
	cases := map[string]struct {
		bad       func(look int) (trial, rest float64)
		isBad     bool
		mostWrong int // of the days
	}{
		"good, five in a hundred fail": {func(int) (float64, float64) { return 0.05, 0.05 }, false, days / 50},
		"good, a spell of failures early": {func(look int) (float64, float64) {
			if look > 20 && look < 26 {
				return 0.3, 0.3
			}
			return 0.04, 0.04
		}, false, days / 50},
		"good, a spell once it has all requests": {func(look int) (float64, float64) {
			if look > 85 && look < 91 {
				return 0.15, 0.15
			}
			return 0.04, 0.04
		}, false, days / 10},
		"bad from the start": {func(int) (float64, float64) { return 0.45, 0.04 }, true, 0},
		"bad once it has all requests": {func(look int) (float64, float64) {
			if look > 75 {
				return 0.45, 0.04
			}
			return 0.04, 0.04
		}, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chance := rand.New(rand.NewPCG(7, 0))
			wrong, most := 0, 0
			for range days {
				found, badAnswers := trialDay(chance, looks, c.bad)
				if (found >= 0) != c.isBad {
					wrong++
				}
				most = max(most, badAnswers)
			}
			assert.Assert(t, wrong <= c.mostWrong, "%d of %d days", wrong, days)
			assert.Assert(t, !c.isBad || most < 50, "%d bad answers", most)
		})
	}
}

func ExampleShareAt() {
	for _, part := range []float64{0, 0.49, 0.5, 0.6, 0.7} {
		fmt.Print(ShareAt(part, 0.15), " ")
	}
	// Output: 0.09 0.09 0.25 0.5 1
}
