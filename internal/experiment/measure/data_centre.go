package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
)

const (
	outageStartMs    = 20_000.0
	outageEndMs      = 40_000.0
	outageRunMs      = 70_000.0
	outageIntervalMs = 32.0  // mean time between requests
	outageNoticeMs   = 300.0 // until the daemons know that the data centre is out
)

// dataCentreMove takes one of three data centres out of service and back in, after which its
// engines are cold. The policies differ in how a daemon limits its requests to a cold engine:
// "slots" to its share of the engine's cold slots, "timer" to one request, an estimate of an
// equal share, for the warm-up time, and "all_at_once" to the full slots of a warm engine.
func dataCentreMove(policy string, seed uint64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 5))
	f := newFleet(choiceDaemons, choiceEngines)
	members := []string{"1", "2", "3", "4", "5", "6", "7"}
	failed, requests, requestsWhileOut, returned := 0, 0, 0, false
	var firstTokenMs []float64
	for now := 0.0; now < outageRunMs; now += r.ExpFloat64() * outageIntervalMs {
		f.advance(now)
		if now >= outageEndMs && !returned {
			returned = true
			f.startCold(now, 1)
		}
		daemon, prefix := r.IntN(choiceDaemons), drawPrefix(r, choicePrefixes)
		list := f.candidates(now, daemon, prefix, true)
		list = slices.DeleteFunc(list, func(c placement.Candidate) bool {
			i := int(c.Key.Server[0] - 'a')
			return knownOut(f.engines[i].DataCentre, now) || f.atColdLimit(policy, members, daemon, i, now)
		})
		best := placement.Scored{}.Order(list, r.Uint64())[0]
		engine := int(best.Key.Server[0] - 'a')
		if knownOut(f.engines[engine].DataCentre, now) {
			requestsWhileOut++
		}
		requests++
		o := f.serve(now, daemon, engine, prefix)
		if o.Failed {
			failed++
			continue
		}
		if now > outageStartMs {
			firstTokenMs = append(firstTokenMs, o.FirstTokenMs)
		}
	}
	slices.Sort(firstTokenMs)
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Crashes
	}
	return map[string]float64{
		"failed": float64(failed), "fell_over": float64(crashes), "work_while_out": float64(requestsWhileOut),
		"first_p95_ms": percentile(firstTokenMs, 0.95), "first_p99_ms": percentile(firstTokenMs, 0.99), "requests": float64(requests),
	}
}

// knownOut reports whether the daemons know that the data centre is out of service.
func knownOut(dataCentre int, now float64) bool {
	return dataCentre == 1 && now >= outageStartMs+outageNoticeMs && now < outageEndMs
}

// startCold begins a cold start of all engines of a data centre.
func (f *fleet) startCold(now float64, dataCentre int) {
	for _, e := range f.engines {
		if e.DataCentre == dataCentre {
			e.ColdUntil = now + e.WarmUpMs
		}
	}
}

// atColdLimit reports whether the engine is cold and the daemon has as many requests in flight
// to it as the policy allows.
func (f *fleet) atColdLimit(policy string, members []string, daemon, engine int, now float64) bool {
	limit := coldLimit(policy, string(rune('a'+engine)), members, daemon)
	return f.engines[engine].Cold(now) && f.ownInFlight[daemon][engine] >= limit
}

// coldLimit returns the number of requests that a daemon may have in flight to a cold server.
func coldLimit(policy, server string, members []string, daemon int) int {
	switch policy {
	case "slots":
		return coldstart.Slots(server, 2, members, members[daemon])
	case "timer":
		return 1
	default:
		return 8
	}
}
