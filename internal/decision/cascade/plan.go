package cascade

// evidenceNeeded is how many rated answers a model needs before it is trusted
// below the top tier.
const evidenceNeeded = 40

// targetMargin keeps the plan a little above the target, since tallies lag.
const targetMargin = 0.01

// Tier is one model of a route with what is known of it, from cheap to costly.
type Tier struct {
	Model   string
	Cost    float64 // of an average answer
	Profile Profile
}

// Plan says where requests start and which answers are good enough.
type Plan struct {
	Start   int
	Accept  [][NumBuckets]bool // by tier and confidence bucket; the top accepts all
	Cost    float64            // expected cost of a request
	Quality float64            // expected share of good answers
}

// Accepts tells whether an answer of the tier with that confidence is given to
// the caller.
func (p Plan) Accepts(tier int, confidence float64) bool {
	return tier >= len(p.Accept)-1 || p.Accept[tier][Bucket(confidence)]
}

// TopTierPlan returns the plan that uses the costliest model alone. It is the plan
// for as long as there are no ratings.
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

// CheapestPlan returns the cheapest plan that is expected to meet the target, or the
// safe plan where none is known to.
func CheapestPlan(tiers []Tier, target float64) Plan {
	best := TopTierPlan(tiers)
	current := best
	for i := len(tiers) - 2; i >= 0; i-- {
		if tiers[i].Profile.Total() < evidenceNeeded {
			continue
		}
		current = extend(current, tiers, i, target)
		if current.Cost < best.Cost && current.Quality >= goal(best, target) {
			best = current
		}
	}
	return best
}

// goal is the target, or what the best plan reaches where the target is out of reach.
func goal(best Plan, target float64) float64 { return min(target+targetMargin, best.Quality) }

// extend puts a cheaper tier in front of the plan: it escalates the buckets
// with the worst answers until the expected quality meets the target.
func extend(next Plan, tiers []Tier, i int, target float64) Plan {
	p := Plan{Start: i, Accept: append([][NumBuckets]bool(nil), next.Accept...)}
	profile := tiers[i].Profile
	n := profile.Total()
	quality, escalated := 0.0, 0.0
	for b := range NumBuckets {
		quality += profile[b].Total() / n * profile[b].GoodRate(profile.Quality())
		p.Accept[i][b] = true
	}
	for quality < goal(next, target) {
		worst := worstBucket(p.Accept[i], profile)
		if worst < 0 {
			break
		}
		p.Accept[i][worst] = false
		share := profile[worst].Total() / n
		quality += share * (next.Quality - profile[worst].GoodRate(profile.Quality()))
		escalated += share
	}
	p.Quality = quality
	p.Cost = tiers[i].Cost + escalated*next.Cost
	return p
}

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

// Shares of requests that also run the tiers below their start, before and
// after enough is known of those.
const (
	exploreUnknownPercent = 25
	exploreKnownPercent   = 2
)

// HasEnoughRatings tells whether enough is known of every tier to plan with it.
func HasEnoughRatings(tiers []Tier) bool {
	for _, t := range tiers {
		if t.Profile.Total() < evidenceNeeded {
			return false
		}
	}
	return true
}

// ExplorePercent returns the share of requests that explore.
func ExplorePercent(known bool) uint64 {
	if known {
		return exploreKnownPercent
	}
	return exploreUnknownPercent
}

// StreamingTier returns the cheapest tier that meets the target without escalation,
// for answers that are streamed and can't be taken back.
func StreamingTier(tiers []Tier, target float64) int {
	for i, tier := range tiers[:len(tiers)-1] {
		if tier.Profile.Total() >= evidenceNeeded && tier.Profile.Quality() >= target+targetMargin {
			return i
		}
	}
	return len(tiers) - 1
}
