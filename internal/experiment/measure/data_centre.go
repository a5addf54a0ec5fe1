package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
)

const (
	moveOutMs  = 20_000.0
	moveBackMs = 40_000.0
	moveEndMs  = 70_000.0
	moveGapMs  = 32.0 // between requests
	noticeMs   = 300.0
)

// dataCentreMove takes one of three data centres out and back; its engines come
// back cold. "slots" gives cold engines what they bear by slot shares;
// "timer" has each daemon guess an equal part for the warm-up time;
// "all_at_once" treats a returned engine like any other.
func dataCentreMove(policy string, seed uint64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 5))
	f := newFleet(choiceDaemons, choiceEngines)
	members := []string{"1", "2", "3", "4", "5", "6", "7"}
	failed, requests, newWork, back := 0, 0, 0, false
	var first []float64
	for now := 0.0; now < moveEndMs; now += r.ExpFloat64() * moveGapMs {
		f.advance(now)
		if now >= moveBackMs && !back {
			back = true
			f.turnCold(now, 1)
		}
		daemon, prefix := r.IntN(choiceDaemons), zipf(r, choicePrefixes)
		list := f.candidates(now, daemon, prefix, true)
		list = slices.DeleteFunc(list, func(c placement.Candidate) bool {
			i := int(c.Key.Server[0] - 'a')
			return isOut(f.engines[i].DataCentre, now) || f.isFull(policy, members, daemon, i, now)
		})
		best := placement.Scored{}.Order(list, r.Uint64())[0]
		engine := int(best.Key.Server[0] - 'a')
		if isOut(f.engines[engine].DataCentre, now) {
			newWork++
		}
		requests++
		o := f.serve(now, daemon, engine, prefix)
		if o.Failed {
			failed++
			continue
		}
		if now > moveOutMs {
			first = append(first, o.FirstTokenMs)
		}
	}
	slices.Sort(first)
	fell := 0
	for _, e := range f.engines {
		fell += e.Crashes
	}
	return map[string]float64{
		"failed": float64(failed), "fell_over": float64(fell), "work_while_out": float64(newWork),
		"first_p95_ms": percentile(first, 0.95), "first_p99_ms": percentile(first, 0.99), "requests": float64(requests),
	}
}

// isOut tells whether daemons know that the data centre is out.
func isOut(dataCentre int, now float64) bool {
	return dataCentre == 1 && now >= moveOutMs+noticeMs && now < moveBackMs
}

// turnCold restarts the engines of a data centre.
func (f *fleet) turnCold(now float64, dataCentre int) {
	for _, e := range f.engines {
		if e.DataCentre == dataCentre {
			e.ColdUntil = now + e.WarmUpMs
		}
	}
}

// isFull tells whether a daemon has all under way at a cold engine that its
// policy allows.
func (f *fleet) isFull(policy string, members []string, daemon, engine int, now float64) bool {
	limit := coldLimit(policy, string(rune('a'+engine)), members, daemon)
	return f.engines[engine].Cold(now) && f.own[daemon][engine] >= limit
}

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
