package quality

import (
	"strings"

	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Tier is a model of a route, with the version that the request may use.
type Tier struct {
	Model              string
	Version            string
	CostMicrosPerToken int64 // in millionths of the billing unit
}

// Plan returns the cheapest cascade plan that meets the quality target. Tiers are
// ordered from cheap to costly. A plan is reused for planTTL.
func (t *Tracker) Plan(route, class string, tiers []Tier, target float64) cascade.Plan {
	names := make([]string, len(tiers))
	for i, tier := range tiers {
		names[i] = tables.JoinVersion(tier.Model, tier.Version)
	}
	key := route + " " + class + " " + strings.Join(names, " ")
	now := t.common.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if cached, ok := t.plans[key]; ok && now-cached.computedAt < planTTL {
		return cached.plan
	}
	plan := cascade.CheapestPlan(t.profiles(route, class, tiers), target)
	if len(t.plans) > maxEntries {
		clear(t.plans)
	}
	t.plans[key] = cachedPlan{plan, now}
	return plan
}

// StreamingTier returns the index of the tier for a streamed answer.
func (t *Tracker) StreamingTier(route, class string, tiers []Tier, target float64) int {
	return cascade.StreamingTier(t.profiles(route, class, tiers), target)
}

func (t *Tracker) profiles(route, class string, tiers []Tier) []cascade.Tier {
	profiles := make([]cascade.Tier, len(tiers))
	for i, tier := range tiers {
		profiles[i] = cascade.Tier{Model: tier.Model, Cost: float64(tier.CostMicrosPerToken), Profile: t.table.Profile(route, class, tier.Model)}
	}
	return profiles
}

// ShouldExplore reports whether the request should also run the lower tiers, below its
// starting tier, to collect ratings of their answers. These answers are not returned to
// the caller.
func (t *Tracker) ShouldExplore(requestID, route, class string, lower []Tier) bool {
	enoughRatings := cascade.HasEnoughRatings(t.profiles(route, class, lower))
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unrated < maxUnrated && container.Hash("explore", requestID)%100 < cascade.ExplorePercent(enoughRatings)
}
