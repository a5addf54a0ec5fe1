package catalog

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// RetryPolicy says how often the requests of a route may run.
type RetryPolicy int

// What a route declares of its requests.
const (
	AtMostOnce RetryPolicy = iota // a request may run once
	Idempotent                    // a request may run again elsewhere
)

// WeightedPool is one of the pools between which a route divides its requests.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Route is one row of the table of routes.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	RetryPolicy      RetryPolicy
	Stream           bool // answers are series of events
	Public           bool // needs no key
	Pools            []WeightedPool
	Models           []string // from which the router chooses, smallest first; empty where the caller names one
	MaxAttempts      int      // most servers on which one request may run
	Priority         int      // 0 is the most urgent
	Timeout          clock.Millis
	LatencyTarget    clock.Millis // latency within which an answer is on time
	InterEventTarget clock.Millis // longest pause between events of an answer that is on time
}

// PoolAt returns the pool for a point in [0, 1) of the route's shares.
func (r *Route) PoolAt(point float64) string {
	total := 0
	for _, s := range r.Pools {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Pools {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Pool
		}
	}
	if len(r.Pools) == 0 {
		return ""
	}
	return r.Pools[len(r.Pools)-1].Pool
}
