package rollout

import "math"

// Comparison sets a version on trial against the pool's others on one route.
type Comparison struct {
	Canary   AnswerStats
	Baseline AnswerStats
}

const (
	// leastBadRate is taken as every version's share of bad answers until more is known.
	leastBadRate = 0.02
	// worseBy is how much higher the bad version's share is taken to be.
	worseBy = 0.3
	// mostBadRate keeps the likelihood of a good answer above zero.
	mostBadRate = 0.95
	// closeAt is the log likelihood ratio at which a version is bad: one false
	// alarm in some hundred good versions.
	closeAt = 5.0
	// closeAtLately is the same for the newest answers by themselves, which are looked
	// at many times while a roll-out lasts.
	closeAtLately = 13.0
	// closeAtOneServer is the same where one server alone gave the bad answers,
	// which may be that server's own fault.
	closeAtOneServer = 14.0
	// slowBy is the factor, as a logarithm, by which a version is slower at least.
	slowBy = 0.45
	// slowSpread is how far, as a logarithm, the mean time of one answer strays.
	slowSpread = 2.5
	// slowSpreadLately is the same where the newest answers are looked at many times.
	slowSpreadLately = 4.5
	// leastTimed is how many answers a mean time needs.
	leastTimed = 4
)

// Finding is what is wrong with a version on trial.
type Finding string

// The findings.
const (
	Healthy Finding = ""
	Failing Finding = "fails"
	Slow    Finding = "slow"
)

// Evaluate tells whether the version on trial does worse than the others on the route.
func (c Comparison) Evaluate() Finding { return c.judge(closeAt, slowSpread) }

// EvaluateRecent tells the same by the newest answers only: a version may turn bad
// after many good answers.
func (c Comparison) EvaluateRecent() Finding { return c.judge(closeAtLately, slowSpreadLately) }

func (c Comparison) judge(limit, spread float64) Finding {
	if c.Canary.servers() < 2 {
		limit = max(limit, closeAtOneServer)
	}
	switch {
	case c.badness() >= limit:
		return Failing
	case c.isSlow(spread):
		return Slow
	}
	return Healthy
}

// Plus returns the sum of two comparisons, such as those of two routes.
func (c Comparison) Plus(o Comparison) Comparison {
	return Comparison{Canary: c.Canary.Plus(o.Canary), Baseline: c.Baseline.Plus(o.Baseline)}
}

// leastLately is how many of the newest answers of the others tell more of what is
// usual now than all that they have given.
const leastLately = 10

// Since returns what was counted of the trial after an earlier look, against what is
// usual for the rest: a spell of failures that strikes all versions isn't the
// trial's fault.
func (c Comparison) Since(before Comparison) Comparison {
	since := Comparison{Canary: c.Canary.Minus(before.Canary), Baseline: c.Baseline}
	lately := c.Baseline.Minus(before.Baseline)
	if lately.Total() >= leastLately && lately.badShare() > c.Baseline.badShare() {
		since.Baseline = lately
	}
	if lately.LatencySamples >= leastTimed && lately.meanSlow() > c.Baseline.meanSlow() {
		since.Baseline.LatencySamples, since.Baseline.LogSlownessSum = lately.LatencySamples, lately.LogSlownessSum
	}
	return since
}

// badness is the log likelihood ratio of the trial's answers being worse than
// the rest's against being alike.
func (c Comparison) badness() float64 {
	usual := leastBadRate
	if c.Baseline.Total() > 0 {
		usual = math.Max(usual, c.Baseline.badShare())
	}
	usual = math.Min(usual, mostBadRate-worseBy/2)
	worse := math.Min(usual+worseBy, mostBadRate)
	return float64(c.Canary.Bad)*math.Log(worse/usual) + float64(c.Canary.Good)*math.Log((1-worse)/(1-usual))
}

func (c Comparison) isSlow(spread float64) bool {
	if c.Canary.LatencySamples < leastTimed || c.Baseline.LatencySamples < leastTimed {
		return false
	}
	diff := c.Canary.meanSlow() - c.Baseline.meanSlow()
	return diff-spread/math.Sqrt(float64(min(c.Canary.LatencySamples, c.Baseline.LatencySamples))) > slowBy
}

// steps of a roll-out: from which part of its time on which share of the
// requests goes to the new version. Sessions keep their version in the first
// half, so the share doesn't change there.
var steps = []struct{ from, share float64 }{{0.5, 0.25}, {0.6, 0.5}, {0.7, 1}}

const (
	// trialShare of the requests goes to the new version in the first half.
	trialShare = 0.1
	// exposedPart of the share that a bad version may get is used for the trial,
	// since the share is counted over requests, which come unevenly.
	exposedPart = 0.6
)

// ShareAt returns the new version's share of requests after a part of the time,
// given the share that a bad version may get.
func ShareAt(part, exposed float64) float64 {
	share := math.Min(trialShare, exposed*exposedPart)
	for _, s := range steps {
		if part >= s.from {
			share = s.share
		}
	}
	return share
}

// FullShareProgress is the part of the time from which all requests go to the new version.
func FullShareProgress() float64 { return steps[len(steps)-1].from }
