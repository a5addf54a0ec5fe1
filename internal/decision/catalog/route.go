package catalog

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// RetryPolicy says whether the requests of a route may be retried.
type RetryPolicy int

// The retry policies of routes.
const (
	AtMostOnce RetryPolicy = iota // a request must not run more than once
	Idempotent                    // a request may run again on another server
)

// WeightedPool is a pool with its weight among the pools of a route.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Route is a row of the table of routes.
type Route struct {
	Name             string
	Host             string
	Prefix           string // of the path; begins and ends with a slash
	RetryPolicy      RetryPolicy
	Stream           bool // whether answers are event streams
	Public           bool // whether requests need no key
	Pools            []WeightedPool
	Models           []string // that the router chooses from, smallest first; empty if the caller names the model
	MaxAttempts      int      // servers on which one request may run
	Priority         int      // 0 is the most urgent
	Timeout          clock.Millis
	LatencyTarget    clock.Millis // for the answer
	InterEventTarget clock.Millis // for the longest time between two events of an answer
}

// PoolAt selects a pool in proportion to the weights: point, in [0, 1), is a fraction of
// the sum of all weights. It returns the pool's name, empty if the route has no pools.
func (r *Route) PoolAt(point float64) string {
	total := 0
	for _, p := range r.Pools {
		total += p.Weight
	}
	remaining := point * float64(total)
	for _, p := range r.Pools {
		remaining -= float64(p.Weight)
		if remaining < 0 {
			return p.Pool
		}
	}
	if len(r.Pools) == 0 {
		return ""
	}
	return r.Pools[len(r.Pools)-1].Pool
}
