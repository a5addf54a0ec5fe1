package placement

import (
	"slices"
)

// Weights of the scored policy, in units of requests a slot.
const (
	farPenalty       = 0.05
	affinityBonus    = 0.40
	saturatedLoad    = 0.95
	unsampledPenalty = 1.0
	sampleSize       = 2
)

// Random orders candidates by chance.
type Random struct{}

// Name returns the policy's name.
func (Random) Name() string { return "random" }

// Order shuffles the candidates by the seed.
func (Random) Order(candidates []Candidate, seed uint64) []Candidate {
	ordered := slices.Clone(candidates)
	for i := len(ordered) - 1; i > 0; i-- {
		seed = next(seed)
		j := int(seed % uint64(i+1))
		ordered[i], ordered[j] = ordered[j], ordered[i]
	}
	return ordered
}

// RoundRobin takes the candidates in turn; the seed is the request's count.
type RoundRobin struct{}

// Name returns the policy's name.
func (RoundRobin) Name() string { return "round_robin" }

// Order rotates the candidates by the seed.
func (RoundRobin) Order(candidates []Candidate, seed uint64) []Candidate {
	if len(candidates) == 0 {
		return nil
	}
	n := int(seed % uint64(len(candidates)))
	return append(slices.Clone(candidates[n:]), candidates[:n]...)
}

// LeastLoad orders candidates by their estimated load alone.
type LeastLoad struct{}

// Name returns the policy's name.
func (LeastLoad) Name() string { return "least_load" }

// Order sorts by load; equal ones keep their place.
func (LeastLoad) Order(candidates []Candidate, _ uint64) []Candidate {
	return sortBy(candidates, func(c Candidate) float64 { return c.Load })
}

// Scored weighs load, distance and cached prefixes among a few servers drawn by
// chance and those that the prompt's prefix settles on.
type Scored struct{}

// Name returns the policy's name.
func (Scored) Name() string { return "scored" }

// Order sorts by score, lowest first.
func (Scored) Order(candidates []Candidate, seed uint64) []Candidate {
	if len(candidates) == 0 {
		return nil
	}
	sampled := sample(candidates, seed)
	return sortBy(candidates, func(c Candidate) float64 { return score(c, sampled[c.Key]) })
}

// score puts a few servers drawn by chance before the rest, so that daemons
// which read the same report don't all choose the same server.
func score(c Candidate, sampled bool) float64 {
	s := c.Load
	if !c.SameDataCentre {
		s += farPenalty
	}
	if c.Affinity > 0 && c.Load < saturatedLoad {
		return s - affinityBonus*c.Affinity
	}
	if !sampled {
		s += unsampledPenalty
	}
	return s
}

// sample draws the servers that the score prefers.
func sample(candidates []Candidate, seed uint64) map[ServerKey]bool {
	drawn := make(map[ServerKey]bool, sampleSize)
	for range sampleSize {
		seed = next(seed)
		drawn[candidates[seed%uint64(len(candidates))].Key] = true
	}
	return drawn
}

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

// next is the xorshift step that the policies draw from.
func next(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
