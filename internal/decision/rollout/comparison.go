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
	// fewServersFailThreshold is the minimum threshold if the bad answers came from
	// few of the servers.
	fewServersFailThreshold = 14.0
	// minLogSlowdown is the least difference of mean log slowness at which a
	// version is slow.
	minLogSlowdown = 0.45
	// minLatencySamples is how many samples a mean slowness needs.
	minLatencySamples = 4
)

// criteria are what an evaluation takes for proof that a version is bad. All but the last
// are log likelihood ratios.
type criteria struct {
	fails float64 // bad answers, errors and slow ones
	rates float64 // errors alone, or slow answers alone
	lags  float64 // lagging streams
	// latencySpread is the assumed spread of the log slowness of one answer.
	latencySpread float64
}

var (
	// routeCriteria are for all answers of one route, poolCriteria for the routes together.
	// There are several routes, so one of them needs more proof.
	routeCriteria = criteria{fails: 7, rates: 5, lags: 8, latencySpread: 2.5}
	poolCriteria  = criteria{fails: 5, rates: 5, lags: 8, latencySpread: 2.5}
	// recentCriteria are for the newest answers alone, which are evaluated many times
	// during a roll-out.
	recentCriteria = criteria{fails: 13, rates: 13, lags: 13, latencySpread: 4.5}
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
func (c Comparison) Evaluate() Finding { return c.evaluate(routeCriteria) }

// EvaluatePool reports whether the canary does worse than the baseline on the routes of a
// pool together. Each route is compared with its own baseline.
func EvaluatePool(routes []Comparison) Finding { return evaluate(routes, poolCriteria) }

// EvaluateRecent is Evaluate for the newest answers only, as returned by Since.
// It detects versions that turn bad after many good answers.
func (c Comparison) EvaluateRecent() Finding {
	return c.evaluate(recentCriteria)
}

// EvaluateRecentPool is EvaluatePool for the newest answers only.
func EvaluateRecentPool(routes []Comparison) Finding { return evaluate(routes, recentCriteria) }

func (c Comparison) evaluate(proof criteria) Finding { return evaluate([]Comparison{c}, proof) }

func evaluate(routes []Comparison, proof criteria) Finding {
	switch {
	case isFailing(newEvidence(routes, badTrials), proof.fails):
		return Failing
	case newEvidence(routes, errorTrials).raisedRatio() >= proof.rates:
		return Failing
	case newEvidence(routes, slowTrials).raisedRatio() >= proof.rates:
		return Slow
	case isSlow(routes, proof.latencySpread):
		return Slow
	}
	var canary, baseline Paces
	for _, c := range routes {
		canary, baseline = canary.Plus(c.Canary.Paces), baseline.Plus(c.Baseline.Paces)
	}
	if lagRatio(canary, baseline) >= proof.lags {
		return Slow
	}
	return Healthy
}

// isFailing reports whether the rate of bad answers is raised by badRateIncrease. Bad answers
// of few servers need more proof, since the fault may be in those servers.
func isFailing(e evidence, threshold float64) bool {
	if !e.isSpread() {
		return e.plainRatio(badRateIncrease) >= max(threshold, fewServersFailThreshold)
	}
	return e.ratio(badRateIncrease) >= threshold
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
	if baseline.LatencySamples < minLatencySamples {
		// The times to the first byte depend on the load, so they are compared with those
		// of the same time only.
		recent.Canary.LatencySamples, recent.Canary.LogSlownessSum = 0, 0
	}
	recent.Baseline.Counts = baseline.Counts
	if baseline.LatencySamples >= minLatencySamples && baseline.meanLogSlowness() > c.Baseline.meanLogSlowness() {
		recent.Baseline.LatencySamples, recent.Baseline.LogSlownessSum = baseline.LatencySamples, baseline.LogSlownessSum
	}
	return recent
}

// hasTimes reports whether the times of the answers are counted.
func (c Comparison) hasTimes() bool {
	return c.Canary.Counts.from(0)+c.Baseline.Counts.from(0) > 0
}

// isSlow reports whether the mean slowness of the canary's answers is higher than that of
// the baseline's on the same routes, where the times can't be compared answer by answer.
func isSlow(routes []Comparison, spread float64) bool {
	diff, canary, baseline := 0.0, 0, 0
	for _, c := range routes {
		if c.Canary.LatencySamples == 0 || c.Baseline.LatencySamples == 0 || c.hasTimes() {
			continue
		}
		diff += float64(c.Canary.LatencySamples) * (c.Canary.meanLogSlowness() - c.Baseline.meanLogSlowness())
		canary += c.Canary.LatencySamples
		baseline += c.Baseline.LatencySamples
	}
	if canary < minLatencySamples || baseline < minLatencySamples {
		return false
	}
	return diff/float64(canary)-spread/math.Sqrt(float64(min(canary, baseline))) > minLogSlowdown
}
