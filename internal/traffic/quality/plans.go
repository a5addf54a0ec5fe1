package quality

import (
	"strings"

	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Tier is one model of a route that a request may use.
type Tier struct {
	Model              string
	Version            string
	CostMicrosPerToken int64 // millionths a token
}

// Plan returns the plan for a request on the tiers, from cheap to costly.
func (k *Tracker) Plan(route, class string, tiers []Tier, target float64) cascade.Plan {
	names := make([]string, len(tiers))
	for i, t := range tiers {
		names[i] = tables.JoinVersion(t.Model, t.Version)
	}
	key := route + " " + class + " " + strings.Join(names, " ")
	now := k.common.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.plans[key]; ok && now-known.at < planLife {
		return known.plan
	}
	plan := cascade.CheapestPlan(k.profiles(route, class, tiers), target)
	if len(k.plans) > maxAwaited {
		clear(k.plans)
	}
	k.plans[key] = timedPlan{plan, now}
	return plan
}

// StreamingTier returns the tier for an answer that is streamed.
func (k *Tracker) StreamingTier(route, class string, tiers []Tier, target float64) int {
	return cascade.StreamingTier(k.profiles(route, class, tiers), target)
}

func (k *Tracker) profiles(route, class string, tiers []Tier) []cascade.Tier {
	profiles := make([]cascade.Tier, len(tiers))
	for i, t := range tiers {
		profiles[i] = cascade.Tier{Model: t.Model, Cost: float64(t.CostMicrosPerToken), Profile: k.table.Profile(route, class, t.Model)}
	}
	return profiles
}

// ShouldExplore tells whether a request should also run the tiers below its start,
// whose answers are rated but not given to the caller.
func (k *Tracker) ShouldExplore(requestID, route, class string, lower []Tier) bool {
	known := cascade.HasEnoughRatings(k.profiles(route, class, lower))
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unrated < maxUnrated && container.Hash("explore", requestID)%100 < cascade.ExplorePercent(known)
}
