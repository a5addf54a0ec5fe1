package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/experiment/simulation"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Sizes of the server-choice experiment: Kitami's pool.
const (
	choiceDaemons  = 7
	choiceEngines  = 10
	choiceRequests = 6_000
	choicePrefixes = 120
	choiceGapMs    = 21 // between requests
	choiceLagMs    = 400
	choiceReportMs = 100
	gossipMs       = 300
)

// fleet is the engines with what each daemon knows of them.
type fleet struct {
	engines []*simulation.Engine
	own     [][]int // by daemon and engine
	gossip  [][]int // own as peers last saw it
	ends    []ending
	nextTip float64
}

type ending struct {
	at             float64
	daemon, engine int
}

func newFleet(daemons, engines int) *fleet {
	f := &fleet{}
	for i := range engines {
		f.engines = append(f.engines, &simulation.Engine{
			Slots: 8, ColdSlots: 2, PrefillMs: 220, CachedPrefillMs: 40, DecodeMs: 600, CacheCapacity: 20, WarmUpMs: 5_000, DataCentre: i % 3,
		})
	}
	for range daemons {
		f.own = append(f.own, make([]int, engines))
		f.gossip = append(f.gossip, make([]int, engines))
	}
	return f
}

// advance ends requests, takes reports and spreads the daemons' own counts.
func (f *fleet) advance(now float64) {
	f.ends = slices.DeleteFunc(f.ends, func(e ending) bool {
		if e.at > now {
			return false
		}
		f.own[e.daemon][e.engine]--
		return true
	})
	for f.nextTip <= now {
		for _, e := range f.engines {
			e.RecordReport(f.nextTip)
		}
		if int(f.nextTip)%gossipMs == 0 {
			for d := range f.own {
				copy(f.gossip[d], f.own[d])
			}
		}
		f.nextTip += choiceReportMs
	}
}

// candidates is what one daemon knows. Without correction, it is the reports alone.
func (f *fleet) candidates(now float64, daemon, prefix int, corrected bool) []placement.Candidate {
	list := make([]placement.Candidate, len(f.engines))
	for i, e := range f.engines {
		requests := e.ReportedInFlight(now, choiceLagMs)
		if corrected {
			requests = max(requests, f.known(daemon, i))
		}
		list[i] = placement.Candidate{
			Key:            placement.ServerKey{Pool: "text", Server: string(rune('a' + i))},
			Load:           float64(requests) / float64(e.Slots),
			SameDataCentre: e.DataCentre == daemon%3,
		}
	}
	name := string(rune(prefix + 0x4000))
	ordered := container.Rendezvous(name, list, func(c placement.Candidate) string { return c.Key.Server })
	ordered[0].Affinity, ordered[1].Affinity = 1, 0.6
	return ordered
}

func (f *fleet) known(daemon, engine int) int {
	n := f.own[daemon][engine]
	for d := range f.gossip {
		if d != daemon {
			n += f.gossip[d][engine]
		}
	}
	return n
}

func (f *fleet) serve(now float64, daemon, engine, prefix int) simulation.Outcome {
	o := f.engines[engine].Serve(now, prefix)
	f.own[daemon][engine]++
	f.ends = append(f.ends, ending{o.EndAt, daemon, engine})
	return o
}

func serverChoice(policy string, seed uint64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(choiceDaemons, choiceEngines)
	policies := map[string]placement.Policy{
		"scored": placement.Scored{}, "random": placement.Random{}, "round_robin": placement.RoundRobin{},
		"least_reported": placement.LeastLoad{}, "scored_uncorrected": placement.Scored{},
	}
	corrected := policy == "scored"
	counts := make([]uint64, choiceDaemons)
	var first, whole []float64
	cached, now := 0, 0.0
	for range choiceRequests {
		now += r.ExpFloat64() * choiceGapMs
		f.advance(now)
		daemon, prefix := r.IntN(choiceDaemons), zipf(r, choicePrefixes)
		counts[daemon]++
		seedOf := r.Uint64()
		if policy == "round_robin" {
			seedOf = counts[daemon] + uint64(daemon)
		}
		list := f.candidates(now, daemon, prefix, corrected)
		if policy != "scored" && policy != "scored_uncorrected" {
			slices.SortFunc(list, func(a, b placement.Candidate) int { return int(a.Key.Server[0]) - int(b.Key.Server[0]) })
		}
		best := policies[policy].Order(list, seedOf)[0]
		o := f.serve(now, daemon, int(best.Key.Server[0]-'a'), prefix)
		first = append(first, o.FirstTokenMs)
		whole = append(whole, o.EndAt-now)
		if o.Cached {
			cached++
		}
	}
	slices.Sort(first)
	slices.Sort(whole)
	return map[string]float64{
		"first_p50_ms": percentile(first, 0.5), "first_p95_ms": percentile(first, 0.95), "first_p99_ms": percentile(first, 0.99),
		"whole_p95_ms": percentile(whole, 0.95), "cached_share": float64(cached) / choiceRequests,
	}
}

// zipf draws popular prefixes more often.
func zipf(r *rand.Rand, n int) int {
	u := r.Float64()
	return int(float64(n) * u * u)
}
