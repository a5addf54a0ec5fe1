package loadbalance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// The replays of placement run daemons and servers in virtual time, without a network.
const (
	replayPeriod  = 400 // ms between reports of the daemons
	replayLag     = 200 // ms from the collection of reports to their use: 0.2 to 0.6 s old
	replayWarmUp  = 8_000
	replayEnd     = 25_000 // one wave of the traffic after the warm-up
	replayCache   = 12     // prefixes that a server keeps
	replayPaceEnd = 600
	prefillTokens = 55.0 // in a ms at speed 1
	stepBaseMs    = 2.89
	stepCallMs    = 0.101
)

// replayKind is a kind of requests.
type replayKind struct {
	prompt, shared, output int
	share                  float64
	target, deadline       float64
}

// replayKinds are the digest, the explanation and the flag of the uneven deployment.
var replayKinds = []replayKind{
	{12_000, 5_382, 400, 78.0 / 320, 4_000, 20_000},
	{826, 198, 300, 129.0 / 320, 2_000, 15_000},
	{2_368, 568, 60, 113.0 / 320, 2_000, 5_000},
}

// replay is a scenario with its state.
type replay struct {
	daemons   int
	perSecond float64
	wave      float64                               // amplitude of the traffic, in 17 s
	hotShare  float64                               // share of the digests with the same key
	plain     bool                                  // plain servers, in place of engines
	speeds    []float64                             // by turns
	slow      func(server int, now float64) float64 // factor on the time of work, at the moment
	unstated  bool                                  // the servers don't state that factor
	policy    string

	random   *rand.Rand
	view     *fleet.View
	pool     catalog.Pool
	servers  []*replayServer
	balancer []*Balancer
	turn     []int
	events   replayEvents
	now      float64
	started  []float64 // first-event times of the measured requests, -1 if rejected
	inTarget int
}

// replayServer is a server of the replay: a serial prefill and streams that share its steps.
type replayServer struct {
	entry   fleet.Entry
	speed   float64
	slots   int
	prefill float64 // when the prefill in progress ends
	running int
	queue   []*replayCall
	cache   []string
}

type replayCall struct {
	daemon, server int
	kind           replayKind
	key            string
	choice         Choice
	arrived        float64
}

type replayEvent struct {
	at float64
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(ms float64, do func()) { heap.Push(&r.events, replayEvent{r.now + ms, do}) }

func (r *replay) millis() clock.Millis { return clock.Millis(r.now) + 1_000_000 }

// replayResult is the outcome of a replay.
type replayResult struct {
	p50, p99 float64
	inTarget float64 // share of the requests
}

// run replays the scenario.
func (r *replay) run(seed uint64, servers int) replayResult {
	r.random = rand.New(rand.NewPCG(seed, 7))
	r.pool = catalog.Pool{Name: "text", Slots: 64, TokenMemory: 462_057, TokensPerEvent: 9}
	slots := 64
	if r.plain {
		slots, r.pool = 6, catalog.Pool{Name: "text"}
	}
	r.view = fleet.NewView()
	for i := range servers {
		r.view = r.view.WithServer(fleet.Server{
			ID: fmt.Sprintf("server-%02d", i), Pool: "text", DataCentre: fmt.Sprintf("dc-%d", i%3), StartedAt: 5, Slots: slots,
		}, 0)
	}
	for i, e := range r.view.Pool("text") {
		r.servers = append(r.servers, &replayServer{entry: e, speed: r.speeds[i%len(r.speeds)], slots: slots})
	}
	for range r.daemons {
		b := NewBalancer()
		if r.policy != "expected finish" {
			b.SetFeatures(loadfeatures.Features{UnevenServers: loadfeatures.Off})
		}
		r.balancer = append(r.balancer, b)
		r.turn = append(r.turn, r.random.IntN(servers))
	}
	r.after(0, r.arrive)
	r.after(replayPeriod, r.exchange)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
	}
	return r.result()
}

// exchange passes the sums of all other daemons' reports on to each daemon.
func (r *replay) exchange() {
	own := make([]map[string]Load, r.daemons)
	speeds := make([]map[uint32]SpeedReport, r.daemons)
	prefixes := make(map[uint32]int)
	ownPrefixes := make([]map[uint32]int, r.daemons)
	totalSpeeds, total := make(map[uint32]SpeedReport), make(map[string]Load)
	for d, b := range r.balancer {
		own[d], speeds[d] = b.OwnLoads(), make(map[uint32]SpeedReport)
		for id, l := range own[d] {
			total[id] = total[id].Plus(l)
		}
		ownPrefixes[d] = make(map[uint32]int)
		for _, p := range b.OwnPrefixes(r.millis()) {
			ownPrefixes[d][p.Prefix] = p.Work
			prefixes[p.Prefix] += p.Work
		}
		for _, s := range b.OwnSpeeds(r.millis()) {
			speeds[d][s.Server] = s
			sum, known := totalSpeeds[s.Server]
			if totalSpeeds[s.Server] = s; known {
				totalSpeeds[s.Server] = sum.Plus(s)
			}
		}
	}
	r.after(replayLag, func() {
		for d, b := range r.balancer {
			others := make(map[string]Load, len(total))
			for id, l := range total {
				others[id] = Load{Calls: l.Calls - own[d][id].Calls, Prefill: l.Prefill - own[d][id].Prefill}
			}
			var reports []SpeedReport
			for key, s := range totalSpeeds {
				s.Weight -= speeds[d][key].Weight
				s.LogRatio -= speeds[d][key].LogRatio
				reports = append(reports, s.After(replayLag))
			}
			b.SetPeerLoads(others, r.millis())
			b.SetPeerSpeeds(reports, r.millis())
			var demand []PrefixReport
			for prefix, work := range prefixes {
				demand = append(demand, PrefixReport{Prefix: prefix, Work: work - ownPrefixes[d][prefix]})
			}
			b.SetPeerPrefixes(HottestPrefixes(demand), true, r.millis())
		}
	})
	if r.now < replayEnd {
		r.after(replayPeriod, r.exchange)
	}
}

// result sums up the measured requests.
func (r *replay) result() replayResult {
	var first []float64
	for _, ms := range r.started {
		if ms >= 0 {
			first = append(first, ms)
		}
	}
	slices.Sort(first)
	return replayResult{
		p50: first[len(first)/2], p99: first[len(first)*99/100], inTarget: float64(r.inTarget) / float64(len(r.started)),
	}
}
