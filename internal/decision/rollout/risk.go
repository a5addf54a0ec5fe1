package rollout

import (
	"maps"
	"math"
	"slices"
)

// harmfulIncrease is the least increase of the rate of bad answers that a version is tested
// for before it gets more requests than a bad version may.
const harmfulIncrease = 0.15

// The parts of a bad version's harm that are expected of each kind of fault before anything
// is known. They add up to 1 over all kinds.
const (
	errorPart  = 0.5 // errors rather than slow answers
	poolPart   = 0.7 // on all routes rather than on one
	recentPart = 0.25
)

// Risk is the harm that is to be expected of a version, as a multiple of what is expected
// without any evidence: 1 if nothing is known, 0 for a version that is surely good.
type Risk struct {
	Expected float64
	// Weights are the weights of the routes for requests that test the version: how much
	// one more good answer would lower the risk, against the route where it does most.
	Weights map[string]float64
}

// acceptableRisk is the risk at which a version may get all requests.
const acceptableRisk = 0.06

// Acceptable reports whether the answers bound the harm of the version.
func (r Risk) Acceptable() bool { return r.Expected <= acceptableRisk }

// minRouteWeight keeps some test requests on each route.
const minRouteWeight = 0.2

// AssessRisk returns the risk by the comparisons of all answers and of the most recent ones,
// by route. Paces are those of the empty route.
func AssessRisk(all, recent map[string]Comparison) Risk {
	a := riskAssessment{gains: make(map[string]float64)}
	a.add(all, 1-recentPart)
	a.add(recent, recentPart)
	risk := Risk{Weights: make(map[string]float64)}
	risk.Expected = 1
	if a.parts > 0 {
		risk.Expected = a.harm / a.parts
	}
	most := 0.0
	for _, gain := range a.gains {
		most = math.Max(most, gain)
	}
	for route, gain := range a.gains {
		risk.Weights[route] = minRouteWeight
		if most > 0 {
			risk.Weights[route] = math.Max(gain/most, minRouteWeight)
		}
	}
	return risk
}

// riskAssessment adds up the expected harm of the kinds of faults.
type riskAssessment struct {
	harm  float64
	parts float64 // of the kinds of faults that can be measured
	gains map[string]float64
}

// add adds the kinds of faults as the comparisons by route show them.
func (a *riskAssessment) add(routes map[string]Comparison, part float64) {
	a.addMeasure(routes, errorTrials, part*errorPart, 0, false)
	paces, ok := boundedLagRatio(routes[AllRoutes].Canary.Paces, routes[AllRoutes].Baseline.Paces)
	a.addMeasure(routes, slowTrials, part*(1-errorPart), paces, ok)
}

// addMeasure adds the faults that one measure shows, on all routes and on each of them. other
// is the log likelihood ratio of a fault on all routes by what else is known, if anything is.
func (a *riskAssessment) addMeasure(routes map[string]Comparison, m measure, part, other float64, isOtherKnown bool) {
	byRoute := make(map[string]evidence, len(routes))
	var whole evidence
	requests := 0.0
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		c := routes[name]
		requests += float64(c.Canary.Sent + c.Baseline.Sent)
		if e := newEvidence([]Comparison{c}, m); len(e) > 0 {
			byRoute[name] = e
			whole = append(whole, e...)
		}
	}
	if len(whole) == 0 && !isOtherKnown {
		return
	}
	harm := part * poolPart * math.Exp(whole.ratio(harmfulIncrease)+other)
	a.harm += harm
	a.parts += part * poolPart
	for name, e := range byRoute {
		share := float64(routes[name].Canary.Sent+routes[name].Baseline.Sent) / math.Max(requests, 1)
		// What a route's callers see often anyway harms them less.
		own := part * (1 - poolPart) * share * e.information() / trials{usual: minErrorRate}.information(harmfulIncrease)
		ownHarm := own * math.Exp(e.ratio(harmfulIncrease))
		a.harm += ownHarm
		a.parts += own
		a.gains[name] += (harm + ownHarm) * e.information()
	}
}

// AllRoutes is the key of what is counted for all routes of a pool together.
const AllRoutes = ""

// information returns by how much a good answer on the routes lowers the ratio on average.
func (e evidence) information() float64 {
	sum := 0.0
	for _, r := range e {
		sum += trials{usual: r.usual}.information(harmfulIncrease) / float64(len(e))
	}
	return sum
}
