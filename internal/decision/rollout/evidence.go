package rollout

import (
	"cmp"
	"math"
	"slices"
)

// trials are the answers of a version by which one of its faults is measured.
type trials struct {
	bad, good float64
	usual     float64 // rate of bad answers of the baseline
}

// ratio returns the log likelihood ratio of the rate being raised by the increase rather
// than the usual one.
func (t trials) ratio(increase float64) float64 {
	raised := math.Min(t.usual+increase, maxBadRate)
	return t.bad*math.Log(raised/t.usual) + t.good*math.Log((1-raised)/math.Max(1-t.usual, 1-maxBadRate))
}

// information returns by how much an answer of a good version lowers the ratio on average.
func (t trials) information(increase float64) float64 {
	return -trials{bad: t.usual, good: 1 - t.usual, usual: t.usual}.ratio(increase)
}

// routeTrials are the trials on one route by group of servers, with the baseline's rate.
type routeTrials struct {
	usual     float64
	bad, good [serverGroups]float64
}

func (r *routeTrials) group(g int) trials {
	return trials{bad: r.bad[g], good: r.good[g], usual: r.usual}
}

// all returns the trials of all groups.
func (r *routeTrials) all() trials {
	sum := trials{usual: r.usual}
	for g := range serverGroups {
		sum.bad += r.bad[g]
		sum.good += r.good[g]
	}
	return sum
}

// newRouteTrials classifies the answers of a version.
func newRouteTrials(counts AnswerCounts, usual float64, classify func(bucket int) (bad, good bool)) *routeTrials {
	r := &routeTrials{usual: usual}
	for _, c := range counts {
		bad, good := classify(c.Bucket)
		switch {
		case bad:
			r.bad[c.Group%serverGroups] += float64(c.Answers)
		case good:
			r.good[c.Group%serverGroups] += float64(c.Answers)
		}
	}
	return r
}

// measure returns the trials of a version on one route; nil if they can't be compared with
// the baseline.
type measure func(c Comparison) *routeTrials

// errorTrials is the measure of errors.
func errorTrials(c Comparison) *routeTrials {
	usual := math.Max(c.Baseline.errorRate(), minErrorRate)
	return newRouteTrials(c.Canary.Counts, usual, func(bucket int) (bad, good bool) {
		return bucket == failedBucket, bucket == lateBucket || bucket == soundBucket
	})
}

// badTrials is the measure of bad answers: errors, and answers that took several times as
// long as expected.
func badTrials(c Comparison) *routeTrials {
	usual := minBadRate
	if c.Baseline.Total() > 0 {
		usual = math.Max(usual, c.Baseline.badRate())
	}
	return newRouteTrials(c.Canary.Counts, math.Min(usual, maxBadRate-badRateIncrease/2), func(bucket int) (bad, good bool) {
		return bucket == failedBucket || bucket == lateBucket, bucket == soundBucket
	})
}

const (
	// minSlowRate is the lowest rate of slow answers assumed for any version, and
	// maxSlowRate the highest that leaves room for a slower one.
	minSlowRate = 0.02
	maxSlowRate = 0.3
)

// slowTrials is the measure of slow answers to requests without a prompt.
func slowTrials(c Comparison) *routeTrials {
	limit, ok := c.Baseline.Counts.slowFrom()
	if !ok {
		return nil
	}
	slow, all := c.Baseline.Counts.from(limit), c.Baseline.Counts.from(0)
	usual := math.Max(float64(slow+1)/float64(all+1), minSlowRate)
	if usual > maxSlowRate {
		return nil
	}
	return newRouteTrials(c.Canary.Counts, usual, func(bucket int) (bad, good bool) {
		return bucket >= limit, bucket >= 0 && bucket < limit
	})
}

// evidence is what the answers of a version tell by one measure, by route. Each route is
// compared with its own baseline, since routes get different shares of a version's requests.
type evidence []*routeTrials

func newEvidence(routes []Comparison, m measure) evidence {
	var e evidence
	for _, c := range routes {
		if r := m(c); r != nil {
			e = append(e, r)
		}
	}
	return e
}

const (
	// faultyServerChance is the chance that a server of a good version is faulty, which
	// explains its bad answers as well as a bad version does. moreFaultyChance is that of
	// each one beyond faultyServerShare of the servers, and one.
	faultyServerChance = 0.008
	moreFaultyChance   = 0.001
	faultyServerShare  = 0.25
)

// faultyServerIncreases are the increases of a faulty server's rate of bad answers that are
// weighed, each as likely as the others.
var faultyServerIncreases = []float64{0.2, 0.4, 0.8}

// faultyServers returns the logarithm of how much better some faulty servers explain the bad
// answers than a version without any fault. The only server of a version is no explanation.
func (e evidence) faultyServers() float64 {
	var likelihoods []float64
	servers := 0
	for g := range serverGroups {
		bad, all := e.groupAnswers(g)
		if all > 0 {
			servers++
		}
		if bad > 0 {
			likelihoods = append(likelihoods, e.faultyLikelihood(g))
		}
	}
	slices.SortFunc(likelihoods, func(a, b float64) int { return cmp.Compare(b, a) })
	usual := max(int(faultyServerShare*float64(servers)), 1)
	sum, product := 1.0, 1.0
	for i, likelihood := range likelihoods {
		if product *= likelihood * faultyServerChance; i >= usual {
			product *= moreFaultyChance / faultyServerChance
		}
		sum += product
	}
	if servers == 1 {
		return 0
	}
	return math.Log(sum)
}

// faultyLikelihood returns how much more likely the answers of a group of servers are if one
// of them is faulty.
func (e evidence) faultyLikelihood(group int) float64 {
	likelihood := 0.0
	for _, increase := range faultyServerIncreases {
		ratio := 0.0
		for _, r := range e {
			ratio += r.group(group).ratio(increase)
		}
		likelihood += math.Exp(ratio) / float64(len(faultyServerIncreases))
	}
	return likelihood
}

// isSpread reports whether the bad answers are spread over the version's servers.
func (e evidence) isSpread() bool {
	total, badServers, servers := 0.0, 0, 0
	for g := range serverGroups {
		bad, all := e.groupAnswers(g)
		total += bad
		if bad > 0 {
			badServers++
		}
		if all > 0 {
			servers++
		}
	}
	return isSpreadOver(int(total), badServers, servers)
}

// groupAnswers returns the numbers of bad and of all answers of a group of servers.
func (e evidence) groupAnswers(group int) (bad, all float64) {
	for _, r := range e {
		bad += r.bad[group]
		all += r.bad[group] + r.good[group]
	}
	return bad, all
}

// ratio returns the log likelihood ratio of the version's rate of bad answers being raised
// by the increase, rather than of a good version some of whose servers may be faulty.
func (e evidence) ratio(increase float64) float64 { return e.mixedRatio([]float64{increase}) }

func (e evidence) plainRatio(increase float64) float64 {
	ratio := 0.0
	for _, r := range e {
		ratio += r.all().ratio(increase)
	}
	return ratio
}

// raisedRatio returns the log likelihood ratio of the version's rate of bad answers being
// raised. It is zero if the bad answers are confined to a few servers.
func (e evidence) raisedRatio() float64 {
	if !e.isSpread() {
		return 0
	}
	return e.mixedRatio(raisedRates)
}

// mixedRatio is ratio for several increases of which each is as likely as the others.
func (e evidence) mixedRatio(increases []float64) float64 {
	sum := 0.0
	for _, increase := range increases {
		sum += math.Exp(e.plainRatio(increase))
	}
	return math.Log(sum/float64(len(increases))) - e.faultyServers()
}
