package rollout

import "math"

// Comparison holds the answers of a canary version and of the pool's other
// versions on one route.
type Comparison struct {
	Canary   AnswerStats
	Baseline AnswerStats
}

const (
	// minBadRate is the lowest rate of bad answers assumed for any version.
	minBadRate = 0.02
	// badRateIncrease is how far a bad version's rate of bad answers is assumed
	// to be above the baseline's.
	badRateIncrease = 0.3
	// maxBadRate keeps the likelihood of a good answer above zero.
	maxBadRate = 0.95
	// routeFailThreshold and poolFailThreshold are the log likelihood ratios at which a
	// version is failing on one route or in the sum of all. The former is higher because
	// there are several routes.
	routeFailThreshold = 7.0
	poolFailThreshold  = 5.0
	// recentFailThreshold is the threshold for the newest answers alone. It is
	// higher because they are evaluated many times during a roll-out.
	recentFailThreshold = 13.0
	// fewServersFailThreshold is the minimum threshold if the bad answers came from
	// few of the servers, since the fault may be in those servers.
	fewServersFailThreshold = 14.0
	// errorThreshold is the log likelihood ratio at which a version's error rate is
	// raised. One good version in a thousand reaches it by chance, however often it is
	// evaluated.
	errorThreshold = 7.0
	// lagThreshold is the same for lagging streams. It is higher because the baseline's
	// rate of lagging streams is an estimate.
	lagThreshold = 8.0
	// minLogSlowdown is the least difference of mean log slowness at which a
	// version is slow.
	minLogSlowdown = 0.45
	// logSlownessSpread is the assumed spread of the log slowness of one answer.
	logSlownessSpread = 2.5
	// recentLogSlownessSpread is the spread for the newest answers alone, which
	// are evaluated many times.
	recentLogSlownessSpread = 4.5
	// minLatencySamples is how many samples a mean slowness needs.
	minLatencySamples = 4
)

// Finding is the result of evaluating a canary version.
type Finding string

// The possible findings.
const (
	Healthy Finding = ""
	Failing Finding = "fails"
	Slow    Finding = "slow"
)

// Evaluate reports whether the canary does worse than the baseline on a route.
func (c Comparison) Evaluate() Finding { return c.evaluate(routeFailThreshold, logSlownessSpread) }

// EvaluatePool is Evaluate for the sum of all routes of a pool.
func (c Comparison) EvaluatePool() Finding { return c.evaluate(poolFailThreshold, logSlownessSpread) }

// EvaluateRecent is Evaluate for the newest answers only, as returned by Since.
// It detects versions that turn bad after many good answers.
func (c Comparison) EvaluateRecent() Finding {
	return c.evaluate(recentFailThreshold, recentLogSlownessSpread)
}

func (c Comparison) evaluate(threshold, spread float64) Finding {
	failing := threshold
	if !isSpread(c.Canary.BadServers, c.Canary.Servers) {
		failing = max(threshold, fewServersFailThreshold)
	}
	switch {
	case c.logLikelihoodRatio() >= failing:
		return Failing
	case c.hasRaisedErrorRate(threshold):
		return Failing
	case c.isSlow(spread):
		return Slow
	case lagRatio(c.Canary.Paces, c.Baseline.Paces) >= max(threshold, lagThreshold):
		return Slow
	}
	return Healthy
}

// minVerdictAnswers is how many of a version's answers on a route bound its error rate: a
// version that fails three in twenty would show nine errors on average.
const minVerdictAnswers = 60

// BoundsHarm reports whether the canary has given enough answers on the route to tell it
// from a bad version.
func (c Comparison) BoundsHarm() bool { return c.Canary.Total() >= minVerdictAnswers }

// Plus returns the sum of two comparisons, such as those of two routes.
func (c Comparison) Plus(o Comparison) Comparison {
	return Comparison{Canary: c.Canary.Plus(o.Canary), Baseline: c.Baseline.Plus(o.Baseline)}
}

// minRecentAnswers is how many recent baseline answers are needed to use their
// rate of bad answers instead of the overall rate.
const minRecentAnswers = 10

// Since returns the canary's answers since an earlier comparison. The baseline
// is either its overall or its recent performance, whichever is worse, so that a
// short failure of all versions is not attributed to the canary.
func (c Comparison) Since(earlier Comparison) Comparison {
	recent := Comparison{Canary: c.Canary.Minus(earlier.Canary), Baseline: c.Baseline}
	baseline := c.Baseline.Minus(earlier.Baseline)
	if baseline.Total() >= minRecentAnswers && baseline.badRate() > c.Baseline.badRate() {
		recent.Baseline = baseline
	}
	if baseline.Total() >= minRecentAnswers && baseline.errorRate() > c.Baseline.errorRate() {
		recent.Baseline.Errors = int(baseline.errorRate() * float64(recent.Baseline.Total()))
	}
	if baseline.LatencySamples >= minLatencySamples && baseline.meanLogSlowness() > c.Baseline.meanLogSlowness() {
		recent.Baseline.LatencySamples, recent.Baseline.LogSlownessSum = baseline.LatencySamples, baseline.LogSlownessSum
	}
	return recent
}

// logLikelihoodRatio compares two hypotheses about the canary: that its rate of
// bad answers is raised by badRateIncrease, and that it equals the baseline's.
func (c Comparison) logLikelihoodRatio() float64 {
	usual := minBadRate
	if c.Baseline.Total() > 0 {
		usual = math.Max(usual, c.Baseline.badRate())
	}
	usual = math.Min(usual, maxBadRate-badRateIncrease/2)
	raised := math.Min(usual+badRateIncrease, maxBadRate)
	return float64(c.Canary.Bad)*math.Log(raised/usual) + float64(c.Canary.Good)*math.Log((1-raised)/(1-usual))
}

func (c Comparison) isSlow(spread float64) bool {
	if c.Canary.LatencySamples < minLatencySamples || c.Baseline.LatencySamples < minLatencySamples {
		return false
	}
	diff := c.Canary.meanLogSlowness() - c.Baseline.meanLogSlowness()
	return diff-spread/math.Sqrt(float64(min(c.Canary.LatencySamples, c.Baseline.LatencySamples))) > minLogSlowdown
}
