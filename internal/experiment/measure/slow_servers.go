package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
)

// Three of ten engines serve half of what the tables say.
const (
	slowEngines    = 3
	declaredSlots  = 8
	realSlots      = 4
	slowRequests   = 5_000
	slowGapMs      = 21
	slowReportLagS = 400
)

// slowServers compares limits that follow the servers' reports with the declared ones.
func slowServers(policy string, seed uint64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 6))
	f := newFleet(choiceDaemons, choiceEngines)
	for i := range slowEngines {
		f.engines[i*3].Slots = realSlots
	}
	capacities := make([]placement.Capacity, choiceEngines)
	var first []float64
	now, nextReport := 0.0, 0.0
	for range slowRequests {
		now += r.ExpFloat64() * slowGapMs
		f.advance(now)
		for ; policy == "adaptive" && nextReport <= now; nextReport += choiceReportMs {
			f.follow(capacities, nextReport)
		}
		daemon, prefix := r.IntN(choiceDaemons), zipf(r, choicePrefixes)
		list := f.candidates(now, daemon, prefix, true)
		for i, c := range list {
			engine := int(c.Key.Server[0] - 'a')
			requests := max(f.engines[engine].ReportedInFlight(now, slowReportLagS), f.known(daemon, engine))
			list[i].Load = float64(requests) / float64(max(capacities[engine].Bound(declaredSlots), 1))
		}
		best := placement.Scored{}.Order(list, r.Uint64())[0]
		first = append(first, f.serve(now, daemon, int(best.Key.Server[0]-'a'), prefix).FirstTokenMs)
	}
	slices.Sort(first)
	return map[string]float64{
		"first_p50_ms": percentile(first, 0.5), "first_p95_ms": percentile(first, 0.95), "first_p99_ms": percentile(first, 0.99),
	}
}

// follow takes in a report of every engine.
func (f *fleet) follow(capacities []placement.Capacity, now float64) {
	for i, e := range f.engines {
		requests := e.ReportedInFlight(now, slowReportLagS)
		running := min(requests, e.Slots)
		capacities[i] = capacities[i].With(running, requests-running)
	}
}
