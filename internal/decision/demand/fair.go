package demand

import (
	"cmp"
	"math"
	"slices"
)

// claim is what one account wants of a capacity.
type claim struct {
	demand float64 // ms of server time per ms
	weight float64 // above 0
}

// fairLevel returns the max-min fair level of the capacity, per unit of weight: each
// account gets its demand, but at most the level times its weight, and these add up to the
// capacity. It is infinite if the capacity covers all demand.
func fairLevel(claims []claim, capacity float64) float64 {
	sorted := slices.SortedFunc(slices.Values(claims), func(a, b claim) int {
		return cmp.Compare(a.demand/a.weight, b.demand/b.weight)
	})
	weight := 0.0
	for _, c := range sorted {
		weight += c.weight
	}
	remaining := capacity
	for _, c := range sorted {
		level := remaining / weight
		if c.demand/c.weight > level {
			return level
		}
		remaining -= c.demand
		weight -= c.weight
	}
	return math.Inf(1)
}
