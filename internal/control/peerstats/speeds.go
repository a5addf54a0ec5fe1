package peerstats

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// speedTotals are the sums of the daemons' evidence of servers' speeds, by server.
type speedTotals map[uint32]loadbalance.SpeedReport

// add adds reports that were received that long ago, which count less the older they are.
func (t speedTotals) add(reports []loadbalance.SpeedReport, elapsed clock.Millis) {
	for _, r := range reports {
		r = r.After(elapsed)
		if other, known := t[r.Server]; known {
			r = other.Plus(r)
		}
		t[r.Server] = r
	}
}

// reports returns the sums, a bounded number of them; nil if there are none.
func (t speedTotals) reports() []loadbalance.SpeedReport {
	return loadbalance.MostCertainSpeeds(slices.Collect(maps.Values(t)))
}

// SetOwnSpeeds replaces what this daemon knows of the speeds of servers.
func (a *Aggregator) SetOwnSpeeds(speeds []loadbalance.SpeedReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Speeds, a.ownAt = speeds, a.clock.Now()
}

// PeerSpeeds returns what the other daemons know of the speeds of servers.
func (a *Aggregator) PeerSpeeds() []loadbalance.SpeedReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired()
	return a.others().speeds.reports()
}
