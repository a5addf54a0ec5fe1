package rollout

import (
	"math"
	"math/bits"

	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// AnswerStats is what was seen of a version's answers on one route. Tallies of
// several daemons add up.
type AnswerStats struct {
	Good           int     `json:"g"`
	Bad            int     `json:"b"`
	BadServers     uint64  `json:"s"` // a bit for each server that gave a bad answer, by hash
	LatencySamples int     `json:"n"` // answers whose time could be judged
	LogSlownessSum float64 `json:"t"` // sum of the logarithms of their slowness
}

// WithAnswer returns the tally after one more answer.
func (t AnswerStats) WithAnswer(server string, bad bool) AnswerStats {
	if !bad {
		t.Good++
		return t
	}
	t.Bad++
	t.BadServers |= 1 << (container.Hash(server) % 64)
	return t
}

// leastSlowness bounds how fast an answer counts.
const leastSlowness = 0.05

// WithSlowness returns the tally after one more answer whose time to the head was
// that many times what was to be expected.
func (t AnswerStats) WithSlowness(slowness float64) AnswerStats {
	t.LatencySamples++
	t.LogSlownessSum += math.Log(math.Max(slowness, leastSlowness))
	return t
}

// Plus returns the sum of two tallies.
func (t AnswerStats) Plus(o AnswerStats) AnswerStats {
	return AnswerStats{
		Good: t.Good + o.Good, Bad: t.Bad + o.Bad, BadServers: t.BadServers | o.BadServers,
		LatencySamples: t.LatencySamples + o.LatencySamples, LogSlownessSum: t.LogSlownessSum + o.LogSlownessSum,
	}
}

// Total returns how many answers the tally holds.
func (t AnswerStats) Total() int { return t.Good + t.Bad }

// badShare returns the share of bad answers, with half a bad one added, so that few
// answers aren't taken for none that fail.
func (t AnswerStats) badShare() float64 { return (float64(t.Bad) + 0.5) / float64(t.Total()+1) }

// MeanSlowness returns the geometric mean of the answers' slowness.
func (t AnswerStats) MeanSlowness() float64 { return math.Exp(t.meanSlow()) }

// meanSlow returns the mean of the logarithms of the answers' slowness.
func (t AnswerStats) meanSlow() float64 { return t.LogSlownessSum / float64(max(t.LatencySamples, 1)) }

// servers returns how many servers gave bad answers, at least.
func (t AnswerStats) servers() int { return bits.OnesCount64(t.BadServers) }

// Minus returns what was counted since an earlier tally of the same answers.
func (t AnswerStats) Minus(o AnswerStats) AnswerStats {
	return AnswerStats{
		Good: max(t.Good-o.Good, 0), Bad: max(t.Bad-o.Bad, 0), BadServers: t.BadServers,
		LatencySamples: max(t.LatencySamples-o.LatencySamples, 0), LogSlownessSum: t.LogSlownessSum - o.LogSlownessSum,
	}
}
