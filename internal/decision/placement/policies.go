package placement

import (
	"slices"
)

// Weights of the scored policy, in requests per slot.
const (
	otherDataCentrePenalty = 0.05
	affinityBonus          = 0.40
	maxAffinityLoad        = 0.95 // affinity is ignored from this load on
	unsampledPenalty       = 1.0
	sampleSize             = 2 // candidates
)

// Random ranks candidates at random.
type Random struct{}

// Name implements Policy.
func (Random) Name() string { return "random" }

// Order returns a permutation that is determined by the seed.
func (Random) Order(candidates []Candidate, seed uint64) []Candidate {
	ordered := slices.Clone(candidates)
	for i := len(ordered) - 1; i > 0; i-- {
		seed = next(seed)
		j := int(seed % uint64(i+1))
		ordered[i], ordered[j] = ordered[j], ordered[i]
	}
	return ordered
}

// RoundRobin selects the candidates in turn. The seed must be a counter of requests.
type RoundRobin struct{}

// Name implements Policy.
func (RoundRobin) Name() string { return "round_robin" }

// Order rotates the candidates by the seed.
func (RoundRobin) Order(candidates []Candidate, seed uint64) []Candidate {
	if len(candidates) == 0 {
		return nil
	}
	n := int(seed % uint64(len(candidates)))
	return append(slices.Clone(candidates[n:]), candidates[:n]...)
}

// LeastLoad ranks candidates by their estimated load only.
type LeastLoad struct{}

// Name implements Policy.
func (LeastLoad) Name() string { return "least_load" }

// Order sorts by load. The sort is stable; the seed is unused.
func (LeastLoad) Order(candidates []Candidate, _ uint64) []Candidate {
	return sortBy(candidates, func(c Candidate) float64 { return c.Load })
}

// Scored ranks candidates by load, data centre and cached prompt prefix. It prefers
// a small random sample and the servers that are likely to have the prefix cached.
type Scored struct{}

// Name implements Policy.
func (Scored) Name() string { return "scored" }

// Order sorts by score, lowest first.
func (Scored) Order(candidates []Candidate, seed uint64) []Candidate {
	if len(candidates) == 0 {
		return nil
	}
	sampled := sample(candidates, seed)
	return sortBy(candidates, func(c Candidate) float64 { return score(c, sampled[c.Key]) })
}

// score returns the rank value of a candidate; lower is better. Candidates outside
// the sample are penalised, so that daemons which read the same report don't all
// choose the same server.
func score(c Candidate, sampled bool) float64 {
	s := c.Load
	if !c.SameDataCentre {
		s += otherDataCentrePenalty
	}
	if c.Affinity > 0 && c.Load < maxAffinityLoad {
		return s - affinityBonus*c.Affinity
	}
	if !sampled {
		s += unsampledPenalty
	}
	return s
}

// sample returns up to sampleSize random candidates.
func sample(candidates []Candidate, seed uint64) map[ServerKey]bool {
	sampled := make(map[ServerKey]bool, sampleSize)
	for range sampleSize {
		seed = next(seed)
		sampled[candidates[seed%uint64(len(candidates))].Key] = true
	}
	return sampled
}

// sortBy returns the candidates in ascending order of value. The sort is stable.
func sortBy(candidates []Candidate, value func(Candidate) float64) []Candidate {
	type scored struct {
		candidate Candidate
		value     float64
	}
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{c, value(c)}
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		default:
			return 0
		}
	})
	ordered := make([]Candidate, len(list))
	for i, s := range list {
		ordered[i] = s.candidate
	}
	return ordered
}

// next returns the next value of the random sequence (SplitMix64).
func next(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
