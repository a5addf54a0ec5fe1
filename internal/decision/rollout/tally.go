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
	Timed      int     `json:"n"`
	LogTime    float64 `json:"t"` // sum of the logarithms of the times to the head, in ms
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

// WithTime returns the tally after one more answer that took that long.
func (t Tally) WithTime(ms float64) Tally {
	t.Timed++
	t.LogTime += math.Log(math.Max(ms, 1))
	return t
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{
		Good: t.Good + o.Good, Bad: t.Bad + o.Bad, BadServers: t.BadServers | o.BadServers,
		Timed: t.Timed + o.Timed, LogTime: t.LogTime + o.LogTime,
	}
}

// Answers returns how many answers the tally holds.
func (t Tally) Answers() int { return t.Good + t.Bad }

// badShare returns the share of bad answers, with half a bad one added, so that few
// answers aren't taken for none that fail.
func (t Tally) badShare() float64 { return (float64(t.Bad) + 0.5) / float64(t.Answers()+1) }

// servers returns how many servers gave bad answers, at least.
func (t Tally) servers() int { return bits.OnesCount64(t.BadServers) }

// Minus returns what was counted since an earlier tally of the same answers.
func (t Tally) Minus(o Tally) Tally {
	return Tally{
		Good: max(t.Good-o.Good, 0), Bad: max(t.Bad-o.Bad, 0), BadServers: t.BadServers,
		Timed: max(t.Timed-o.Timed, 0), LogTime: t.LogTime - o.LogTime,
	}
}
