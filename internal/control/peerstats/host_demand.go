package peerstats

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// hostDemand is the sum of the demand that the hosts of a data centre reported lately. A
// leader replies to each of them with the demand of the others; adding that up for every
// reply would take the square of the number of hosts.
type hostDemand struct {
	sum     demand.Sum
	reports map[string]received // those in sum
}

// set replaces the report of the host.
func (h *hostDemand) set(host string, r received) {
	h.remove(host)
	if r.DemandDaemons <= 0 {
		return
	}
	if h.reports == nil {
		h.reports = make(map[string]received)
	}
	h.reports[host] = r
	h.sum.Add(r.Demand, r.DemandDaemons)
}

func (h *hostDemand) remove(host string) {
	if r, ok := h.reports[host]; ok {
		h.sum.Remove(r.Demand, r.DemandDaemons)
		delete(h.reports, host)
	}
}

// except returns the sum without that of the host, and the age of its newest report. It
// removes expired reports.
func (h *hostDemand) except(host string, now clock.Millis) (sum demand.Sum, age clock.Millis) {
	age = loadLifetime
	for name, r := range h.reports {
		if now-r.receivedAt >= loadLifetime {
			h.remove(name)
		} else if name != host {
			age = min(age, now-r.receivedAt)
		}
	}
	sum = h.sum.Clone()
	if r, ok := h.reports[host]; ok {
		sum.Remove(r.Demand, r.DemandDaemons)
	}
	return sum, age
}
