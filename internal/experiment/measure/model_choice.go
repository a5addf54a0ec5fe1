package measure

import (
	"math/rand/v2"

	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/experiment/simulation"
)

const (
	cascadeRequests = 8_000
	cascadeTarget   = 0.90
	ratedShare      = 0.3
	ratingDelay     = 200 // in requests, from an answer to its rating
	fixedThreshold  = 0.7 // confidence from which the fixed cascade accepts an answer
)

var tierVersions = []simulation.Version{
	{Name: "small", Cost: 1, Quality: 0.78, LatencyMs: 250},
	{Name: "medium", Cost: 4, Quality: 0.88, LatencyMs: 450},
	{Name: "large", Cost: 10, Quality: 0.96, LatencyMs: 900},
}

// pendingRating is the rating of an answer, which arrives at the request with number due.
type pendingRating struct {
	due        int
	tier       int
	confidence float64
	good       bool
}

// modelChoice compares the learned cascade with using only the costliest model and with a
// fixed cascade that tries the cheapest model first. The learned cascade gets no ratings with
// the policy "learned_no_ratings".
func modelChoice(policy string, seed uint64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 2))
	table := cascade.NewRatingTable()
	var pending []pendingRating
	good, cost, latencyMs := 0, 0.0, 0.0
	for n := range cascadeRequests {
		for len(pending) > 0 && pending[0].due <= n {
			rating := pending[0]
			pending = pending[1:]
			table.AddRating(cascade.RatingKey{Route: "r", Class: "c", Model: tierVersions[rating.tier].Name, Bucket: cascade.Bucket(rating.confidence)}, rating.good)
		}
		plan := planFor(policy, table)
		start := plan.Start
		if policy == "learned" && start > 0 && r.Uint64()%100 < cascade.ExplorePercent(cascade.HasEnoughRatings(tiersOf(table)[:start])) {
			start = 0
		}
		for t := start; t < len(tierVersions); t++ {
			answer := tierVersions[t].Sample(r)
			cost += tierVersions[t].Cost
			latencyMs += tierVersions[t].LatencyMs
			if policy == "learned" && r.Float64() < ratedShare {
				pending = append(pending, pendingRating{n + ratingDelay, t, answer.Confidence, answer.Good})
			}
			if t >= plan.Start && plan.Accepts(t, answer.Confidence) {
				if answer.Good {
					good++
				}
				break
			}
		}
	}
	return map[string]float64{
		"quality": float64(good) / cascadeRequests, "cost": cost / cascadeRequests, "mean_ms": latencyMs / cascadeRequests,
	}
}

func tiersOf(table *cascade.RatingTable) []cascade.Tier {
	tiers := make([]cascade.Tier, len(tierVersions))
	for i, v := range tierVersions {
		tiers[i] = cascade.Tier{Model: v.Name, Cost: v.Cost, Profile: table.Profile("r", "c", v.Name)}
	}
	return tiers
}

// planFor returns the cascade plan of the policy under the current ratings.
func planFor(policy string, table *cascade.RatingTable) cascade.Plan {
	tiers := tiersOf(table)
	switch policy {
	case "always_best":
		return cascade.TopTierPlan(tiers)
	case "fixed_cascade":
		plan := cascade.TopTierPlan(tiers)
		plan.Start = 0
		for t := range len(tiers) - 1 {
			for b := range cascade.NumBuckets {
				plan.Accept[t][b] = float64(b)/cascade.NumBuckets >= fixedThreshold && t == 0
			}
		}
		return plan
	default:
		return cascade.CheapestPlan(tiers, cascadeTarget)
	}
}
