package cascade

// minRatings is how many ratings a model needs before it is used below the top
// tier.
const minRatings = 40

// targetMargin keeps the expected quality above the target, since ratings lag
// behind the answers.
const targetMargin = 0.01

// Tier is one model of a route. Tiers are ordered from cheap to costly.
type Tier struct {
	Model   string
	Cost    float64 // of an average answer
	Profile Profile
}

// Plan is the tier on which requests start and the answers that are not
// escalated.
type Plan struct {
	Start   int
	Accept  [][NumBuckets]bool // by tier and confidence bucket; the top tier accepts all
	Cost    float64            // expected cost of a request
	Quality float64            // expected share of good answers
}

// Accepts reports whether an answer of the tier with that confidence is returned
// to the caller rather than escalated.
func (p Plan) Accepts(tier int, confidence float64) bool {
	return tier >= len(p.Accept)-1 || p.Accept[tier][Bucket(confidence)]
}

// TopTierPlan returns the plan that uses only the costliest model. It applies
// while there are no ratings.
func TopTierPlan(tiers []Tier) Plan {
	top := len(tiers) - 1
	p := Plan{Start: top, Accept: make([][NumBuckets]bool, len(tiers))}
	for b := range NumBuckets {
		p.Accept[top][b] = true
	}
	p.Cost = tiers[top].Cost
	p.Quality = tiers[top].Profile.Quality()
	return p
}

// CheapestPlan returns the cheapest plan whose expected quality meets the target,
// or TopTierPlan if no cheaper plan does.
func CheapestPlan(tiers []Tier, target float64) Plan {
	best := TopTierPlan(tiers)
	current := best
	for i := len(tiers) - 2; i >= 0; i-- {
		if tiers[i].Profile.Total() < minRatings {
			continue
		}
		current = extend(current, tiers, i, target)
		if current.Cost < best.Cost && current.Quality >= requiredQuality(best, target) {
			best = current
		}
	}
	return best
}

// requiredQuality is the target with its margin, but never more than the quality
// of the best plan.
func requiredQuality(best Plan, target float64) float64 {
	return min(target+targetMargin, best.Quality)
}

// extend prepends a cheaper tier to the plan. It escalates the confidence buckets
// with the worst answers until the expected quality meets the target.
func extend(next Plan, tiers []Tier, i int, target float64) Plan {
	p := Plan{Start: i, Accept: append([][NumBuckets]bool(nil), next.Accept...)}
	profile := tiers[i].Profile
	total := profile.Total()
	quality, escalated := 0.0, 0.0
	for b := range NumBuckets {
		quality += profile[b].Total() / total * profile[b].GoodRate(profile.Quality())
		p.Accept[i][b] = true
	}
	for quality < requiredQuality(next, target) {
		worst := worstBucket(p.Accept[i], profile)
		if worst < 0 {
			break
		}
		p.Accept[i][worst] = false
		share := profile[worst].Total() / total
		quality += share * (next.Quality - profile[worst].GoodRate(profile.Quality()))
		escalated += share
	}
	p.Quality = quality
	p.Cost = tiers[i].Cost + escalated*next.Cost
	return p
}

// worstBucket returns the accepted bucket with the lowest rate of good answers,
// or -1 if none is accepted.
func worstBucket(accept [NumBuckets]bool, profile Profile) int {
	worst, worstRate := -1, 2.0
	for b := range NumBuckets {
		rate := profile[b].GoodRate(profile.Quality())
		if accept[b] && rate < worstRate {
			worst, worstRate = b, rate
		}
	}
	return worst
}

// Percentage of requests that also run the tiers below their starting tier, to
// collect ratings of them.
const (
	explorePercentUnrated = 25 // while a tier has too few ratings
	explorePercentRated   = 2
)

// HasEnoughRatings reports whether every tier has enough ratings to plan with.
func HasEnoughRatings(tiers []Tier) bool {
	for _, t := range tiers {
		if t.Profile.Total() < minRatings {
			return false
		}
	}
	return true
}

// ExplorePercent returns the percentage of requests that explore lower tiers;
// enoughRatings is the result of HasEnoughRatings for those tiers.
func ExplorePercent(enoughRatings bool) uint64 {
	if enoughRatings {
		return explorePercentRated
	}
	return explorePercentUnrated
}

// StreamingTier returns the cheapest tier that meets the target without
// escalation. It is for streamed answers, which can't be escalated once they have
// reached the caller.
func StreamingTier(tiers []Tier, target float64) int {
	for i, tier := range tiers[:len(tiers)-1] {
		if tier.Profile.Total() >= minRatings && tier.Profile.Quality() >= target+targetMargin {
			return i
		}
	}
	return len(tiers) - 1
}
