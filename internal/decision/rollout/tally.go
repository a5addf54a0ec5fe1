package rollout

import (
	"math"
	"math/bits"

	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Tally is what was seen of a version's answers on one route. Tallies of
// several daemons add up.
type Tally struct {
	Good       int     `json:"g"`
	Bad        int     `json:"b"`
	BadServers uint64  `json:"s"` // a bit for each server that gave a bad answer, by hash
	Timed      int     `json:"n"` // answers whose time could be judged
	LogSlow    float64 `json:"t"` // sum of the logarithms of their slowness
}

// WithAnswer returns the tally after one more answer.
func (t Tally) WithAnswer(server string, bad bool) Tally {
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
func (t Tally) WithSlowness(slowness float64) Tally {
	t.Timed++
	t.LogSlow += math.Log(math.Max(slowness, leastSlowness))
	return t
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{
		Good: t.Good + o.Good, Bad: t.Bad + o.Bad, BadServers: t.BadServers | o.BadServers,
		Timed: t.Timed + o.Timed, LogSlow: t.LogSlow + o.LogSlow,
	}
}

// Answers returns how many answers the tally holds.
func (t Tally) Answers() int { return t.Good + t.Bad }

// badShare returns the share of bad answers, with half a bad one added, so that few
// answers aren't taken for none that fail.
func (t Tally) badShare() float64 { return (float64(t.Bad) + 0.5) / float64(t.Answers()+1) }

// Slowness returns the geometric mean of the answers' slowness.
func (t Tally) Slowness() float64 { return math.Exp(t.meanSlow()) }

// meanSlow returns the mean of the logarithms of the answers' slowness.
func (t Tally) meanSlow() float64 { return t.LogSlow / float64(max(t.Timed, 1)) }

// servers returns how many servers gave bad answers, at least.
func (t Tally) servers() int { return bits.OnesCount64(t.BadServers) }

// Minus returns what was counted since an earlier tally of the same answers.
func (t Tally) Minus(o Tally) Tally {
	return Tally{
		Good: max(t.Good-o.Good, 0), Bad: max(t.Bad-o.Bad, 0), BadServers: t.BadServers,
		Timed: max(t.Timed-o.Timed, 0), LogSlow: t.LogSlow - o.LogSlow,
	}
}
