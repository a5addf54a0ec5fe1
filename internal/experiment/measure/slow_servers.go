package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
)

// Three of ten engines serve half as many requests at once as the tables declare.
const (
	slowEngines     = 3
	declaredSlots   = 8
	actualSlots     = 4
	slowRequests    = 5_000
	slowIntervalMs  = 21 // mean time between requests
	slowReportLagMs = 400
)

// slowServers compares adaptive limits, which follow the servers' load reports, with the
// declared slots.
func slowServers(policy string, seed uint64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 6))
	f := newFleet(choiceDaemons, choiceEngines)
	for i := range slowEngines {
		f.engines[i*3].Slots = actualSlots
	}
	capacities := make([]placement.Capacity, choiceEngines)
	var firstTokenMs []float64
	now, nextReportAt := 0.0, 0.0
	for range slowRequests {
		now += r.ExpFloat64() * slowIntervalMs
		f.advance(now)
		for ; policy == "adaptive" && nextReportAt <= now; nextReportAt += reportIntervalMs {
			f.updateCapacities(capacities, nextReportAt)
		}
		daemon, prefix := r.IntN(choiceDaemons), drawPrefix(r, choicePrefixes)
		list := f.candidates(now, daemon, prefix, true)
		for i, c := range list {
			engine := int(c.Key.Server[0] - 'a')
			requests := max(f.engines[engine].ReportedInFlight(now, slowReportLagMs), f.inFlight(daemon, engine))
			list[i].Load = float64(requests) / float64(max(capacities[engine].Bound(declaredSlots), 1))
		}
		best := placement.Scored{}.Order(list, r.Uint64())[0]
		firstTokenMs = append(firstTokenMs, f.serve(now, daemon, int(best.Key.Server[0]-'a'), prefix).FirstTokenMs)
	}
	slices.Sort(firstTokenMs)
	return map[string]float64{
		"first_p50_ms": percentile(firstTokenMs, 0.5), "first_p95_ms": percentile(firstTokenMs, 0.95), "first_p99_ms": percentile(firstTokenMs, 0.99),
	}
}

// updateCapacities applies the latest load report of every engine to its capacity.
func (f *fleet) updateCapacities(capacities []placement.Capacity, now float64) {
	for i, e := range f.engines {
		requests := e.ReportedInFlight(now, slowReportLagMs)
		running := min(requests, e.Slots)
		capacities[i] = capacities[i].With(running, requests-running)
	}
}
