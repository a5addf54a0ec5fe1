package catalog

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Repeat says how often the requests of a route may run.
type Repeat int

// What a route declares of its requests.
const (
	AtMostOnce Repeat = iota // a request may run once
	Idempotent               // a request may run again elsewhere
)

// Share is one of the pools between which a route divides its requests.
type Share struct {
	Pool   string
	Weight int
}

// Route is one row of the table of routes.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Repeat      Repeat
	Stream      bool // answers are series of events
	Public      bool // needs no key
	Shares      []Share
	Models      []string // from which the router chooses, smallest first; empty where the caller names one
	MaxAttempts int      // most servers on which one request may run
	Priority    int      // 0 is the most urgent
	Timeout     clock.Millis
	Aim         clock.Millis // latency within which an answer is on time
	PauseAim    clock.Millis // longest pause between events of an answer that is on time
}

// Pool returns the pool for a point in [0, 1) of the route's shares.
func (r *Route) Pool(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Pool
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Pool
}
