package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/experiment/simulation"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Sizes of the server-choice experiment, which are those of Kitami's pool.
const (
	choiceDaemons    = 7
	choiceEngines    = 10
	choiceRequests   = 6_000
	choicePrefixes   = 120
	choiceIntervalMs = 21 // mean time between requests
	reportLagMs      = 400
	reportIntervalMs = 100
	gossipIntervalMs = 300
)

// fleet simulates the engines of a pool and the daemons' knowledge of their load.
type fleet struct {
	engines      []*simulation.Engine
	ownInFlight  [][]int // by daemon and engine
	peerInFlight [][]int // ownInFlight as last received by the peers
	completions  []completion
	nextReportAt float64
}

// completion is the end of a request that a daemon has sent to an engine.
type completion struct {
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
		f.ownInFlight = append(f.ownInFlight, make([]int, engines))
		f.peerInFlight = append(f.peerInFlight, make([]int, engines))
	}
	return f
}

// advance completes the requests that are due by now, records load reports and exchanges the
// daemons' in-flight counts with their peers.
func (f *fleet) advance(now float64) {
	f.completions = slices.DeleteFunc(f.completions, func(c completion) bool {
		if c.at > now {
			return false
		}
		f.ownInFlight[c.daemon][c.engine]--
		return true
	})
	for f.nextReportAt <= now {
		for _, e := range f.engines {
			e.RecordReport(f.nextReportAt)
		}
		if int(f.nextReportAt)%gossipIntervalMs == 0 {
			for d := range f.ownInFlight {
				copy(f.peerInFlight[d], f.ownInFlight[d])
			}
		}
		f.nextReportAt += reportIntervalMs
	}
}

// candidates returns the engines as one daemon sees them, in order of preference for the
// prefix. If corrected is set, the load is the maximum of the reported requests and those
// that the daemon and its peers have in flight; otherwise it is the reported one alone.
func (f *fleet) candidates(now float64, daemon, prefix int, corrected bool) []placement.Candidate {
	list := make([]placement.Candidate, len(f.engines))
	for i, e := range f.engines {
		requests := e.ReportedInFlight(now, reportLagMs)
		if corrected {
			requests = max(requests, f.inFlight(daemon, i))
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

// inFlight returns the requests in flight to an engine that the daemon knows of, its own and
// those of its peers.
func (f *fleet) inFlight(daemon, engine int) int {
	n := f.ownInFlight[daemon][engine]
	for d := range f.peerInFlight {
		if d != daemon {
			n += f.peerInFlight[d][engine]
		}
	}
	return n
}

func (f *fleet) serve(now float64, daemon, engine, prefix int) simulation.Outcome {
	o := f.engines[engine].Serve(now, prefix)
	f.ownInFlight[daemon][engine]++
	f.completions = append(f.completions, completion{o.EndAt, daemon, engine})
	return o
}

// serverChoice compares the router's choice of a server with baselines. All daemons see the
// same lagging load reports; only the policy "scored" corrects them.
func serverChoice(policy string, seed uint64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(choiceDaemons, choiceEngines)
	policies := map[string]placement.Policy{
		"scored": placement.Scored{}, "random": placement.Random{}, "round_robin": placement.RoundRobin{},
		"least_reported": placement.LeastLoad{}, "scored_uncorrected": placement.Scored{},
	}
	corrected := policy == "scored"
	requestCounts := make([]uint64, choiceDaemons)
	var firstTokenMs, totalMs []float64
	cached, now := 0, 0.0
	for range choiceRequests {
		now += r.ExpFloat64() * choiceIntervalMs
		f.advance(now)
		daemon, prefix := r.IntN(choiceDaemons), drawPrefix(r, choicePrefixes)
		requestCounts[daemon]++
		orderSeed := r.Uint64()
		if policy == "round_robin" {
			orderSeed = requestCounts[daemon] + uint64(daemon)
		}
		list := f.candidates(now, daemon, prefix, corrected)
		if policy != "scored" && policy != "scored_uncorrected" {
			slices.SortFunc(list, func(a, b placement.Candidate) int { return int(a.Key.Server[0]) - int(b.Key.Server[0]) })
		}
		best := policies[policy].Order(list, orderSeed)[0]
		o := f.serve(now, daemon, int(best.Key.Server[0]-'a'), prefix)
		firstTokenMs = append(firstTokenMs, o.FirstTokenMs)
		totalMs = append(totalMs, o.EndAt-now)
		if o.Cached {
			cached++
		}
	}
	slices.Sort(firstTokenMs)
	slices.Sort(totalMs)
	return map[string]float64{
		"first_p50_ms": percentile(firstTokenMs, 0.5), "first_p95_ms": percentile(firstTokenMs, 0.95), "first_p99_ms": percentile(firstTokenMs, 0.99),
		"whole_p95_ms": percentile(totalMs, 0.95), "cached_share": float64(cached) / choiceRequests,
	}
}

// drawPrefix draws a prefix below n at random. Lower prefixes are more likely.
func drawPrefix(r *rand.Rand, n int) int {
	u := r.Float64()
	return int(float64(n) * u * u)
}
