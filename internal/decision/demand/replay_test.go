package demand

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

var (
	demandSeed  = flag.Uint64("demand-seed", 1, "first seed of the replays of a flood")
	demandSeeds = flag.Uint64("demand-seeds", 1, "number of seeds of the replays of a flood")
)

const (
	replayPool    = "plain"
	replayReports = 400 * clock.Millis(1)    // between two reports of a daemon
	replayDelay   = 200 * clock.Millis(1)    // until the others have them: used at an age of 0.2 to 0.6 s
	replayPoll    = 10 * clock.Millis(1)     // of a daemon's waiting requests
	replayTime    = 44_000 * clock.Millis(1) // as long as the day of the figures in docs/design/load.md
	floodFrom     = 6_000 * clock.Millis(1)
	quietAccounts = 9
	floodAccount  = "flood"
)

// replayLoad is a kind of requests with the servers that run them.
type replayLoad struct {
	servers, slots int
	holds          int // running and queued; further requests are refused
	work           clock.Millis
	target         clock.Millis // until a request must have ended, or a stream begun
	stream         bool
	deadline       clock.Millis
	quiet, flood   float64 // requests/s of an account
}

var (
	// plainCalls are those of nine accounts beside one that floods, in docs/design/load.md.
	plainCalls = replayLoad{servers: 5, slots: 3, holds: 9, work: 100, target: 300, deadline: 3_000, quiet: 12, flood: 240}
	// streams have the target and the deadline of questions there, and the same utilisation.
	streams = replayLoad{servers: 10, slots: 16, holds: 24, work: 5_000, target: 1_500, stream: true, deadline: 15_000, quiet: 2.56, flood: 51.2}
)

// replayRequest is a request of the replay.
type replayRequest struct {
	class     Class
	arrivedAt clock.Millis
	record    *Request
}

// replayServer has slots, and a queue in order of arrival.
type replayServer struct {
	running []servedRequest
	queue   []*replayRequest
}

type servedRequest struct {
	request *replayRequest
	until   clock.Millis
}

func (s *replayServer) load() int { return len(s.running) + len(s.queue) }

// replayDaemon has a ledger and requests that wait.
type replayDaemon struct {
	ledger  *Ledger
	waiting []*replayRequest
}

// replay is a pool with its daemons. The servers' loads are known to all daemons at any
// time, so that only the division of the capacity is tested.
type replay struct {
	replayLoad
	rng        *rand.Rand
	now        clock.Millis
	daemons    []*replayDaemon
	backends   []*replayServer
	reports    [][]PoolUsage // of the last exchange, by daemon
	floodAt    int           // daemons that get the flood
	shares     bool          // whether accounts in excess wait
	inTime     map[string]int
	arrived    map[string]int
	idle, busy int // slot ms while requests wait in daemons
}

func newReplay(load replayLoad, seed uint64, daemons, floodAt int) *replay {
	r := &replay{
		replayLoad: load,
		rng:        rand.New(rand.NewPCG(seed, 0)), floodAt: floodAt, now: 1_000, shares: true,
		inTime: make(map[string]int), arrived: make(map[string]int), reports: make([][]PoolUsage, daemons),
	}
	for i := range daemons {
		d := &replayDaemon{ledger: NewLedger()}
		d.ledger.SetHost(fmt.Sprintf("host-%d-%d", seed, i))
		d.ledger.SetBeginning(r.now)
		r.daemons = append(r.daemons, d)
	}
	for range r.servers {
		r.backends = append(r.backends, &replayServer{})
	}
	return r
}

// arrive draws the requests of the account that arrive in one ms, at one of so many daemons.
func (r *replay) arrive(account string, perSecond float64, daemons int) {
	if r.rng.Float64() >= perSecond/1_000 {
		return
	}
	d := r.daemons[r.rng.IntN(daemons)]
	q := &replayRequest{class: Class{Pool: replayPool, Account: account}, arrivedAt: r.now}
	q.record = d.ledger.Arrive(q.class, r.work, r.now)
	r.arrived[account]++
	if !r.send(d, q) {
		d.waiting = append(d.waiting, q)
	}
}

// send passes the request to the server with the shortest queue, unless its account uses
// more than its share or all servers refuse it.
func (r *replay) send(d *replayDaemon, q *replayRequest) bool {
	capacity := float64(r.servers * r.slots)
	if r.shares && d.ledger.Share(q.class, capacity, r.now).Excess() {
		return false
	}
	s := slices.MinFunc(r.backends, func(a, b *replayServer) int { return a.load() - b.load() })
	if s.load() >= r.holds {
		return false
	}
	q.record.Start(r.now)
	s.queue = append(s.queue, q)
	return true
}

// serve moves the servers on by one ms.
func (r *replay) serve(waiting bool) {
	for _, s := range r.backends {
		s.running = slices.DeleteFunc(s.running, func(run servedRequest) bool {
			if run.until > r.now {
				return false
			}
			run.request.record.End(r.now)
			if !r.stream {
				r.countInTime(run.request)
			}
			return true
		})
		for len(s.queue) > 0 && len(s.running) < r.slots {
			if r.stream {
				r.countInTime(s.queue[0])
			}
			s.running = append(s.running, servedRequest{s.queue[0], r.now + r.work})
			s.queue = s.queue[1:]
		}
		if waiting {
			r.busy += len(s.running)
			r.idle += r.slots - len(s.running)
		}
	}
}

// countInTime counts the request if its target isn't over.
func (r *replay) countInTime(q *replayRequest) {
	if r.now-q.arrivedAt <= r.target {
		r.inTime[q.class.Account]++
	}
}

// poll decides on the waiting requests of all daemons. It reports whether some still wait.
func (r *replay) poll() bool {
	waiting := false
	for _, d := range r.daemons {
		refused := make(map[string]bool) // accounts; the others of them would be refused too
		d.waiting = slices.DeleteFunc(d.waiting, func(q *replayRequest) bool {
			if r.now-q.arrivedAt >= r.deadline {
				q.record.End(r.now)
				return true
			}
			refused[q.class.Account] = refused[q.class.Account] || !r.send(d, q)
			return !refused[q.class.Account]
		})
		waiting = waiting || len(d.waiting) > 0
	}
	return waiting
}

// deliver gives every daemon the totals of the other daemons' last reports.
func (r *replay) deliver() {
	const group = 20
	var groups [][]PoolUsage
	for members := range slices.Chunk(r.reports, group) {
		groups = append(groups, Total(members...))
	}
	for i, d := range r.daemons {
		others := slices.Delete(slices.Clone(groups), i/group, i/group+1)
		first := i / group * group
		for j := first; j < min(first+group, len(r.reports)); j++ {
			if j != i {
				others = append(others, r.reports[j])
			}
		}
		d.ledger.SetPeerTotal(PeerTotal{Usage: Total(others...), Reporting: len(r.daemons) - 1, Age: replayDelay}, len(r.daemons), r.now)
	}
}

// report collects the reports of all daemons.
func (r *replay) report() {
	for i, d := range r.daemons {
		r.reports[i] = d.ledger.Usage(r.now)
	}
}

// run replays the day, with the flood or without it.
func (r *replay) run(flood bool) *replay {
	waiting := false
	for end := r.now + replayTime; r.now < end; r.now++ {
		switch r.now % replayReports {
		case 0:
			r.report()
		case replayDelay:
			r.deliver()
		}
		for i := range quietAccounts {
			r.arrive(fmt.Sprintf("quiet-%d", i), r.quiet, len(r.daemons))
		}
		if flood && r.now >= floodFrom {
			r.arrive(floodAccount, r.flood, r.floodAt)
		}
		if r.now%replayPoll == 0 {
			waiting = r.poll()
		}
		r.serve(waiting)
	}
	return r
}

// servedShare returns the part of the accounts' requests that were served in time: of all
// quiet ones, and of the one that fared worst.
func (r *replay) servedShare() (all, worst float64) {
	served, arrived := 0, 0
	worst = 1
	for i := range quietAccounts {
		name := fmt.Sprintf("quiet-%d", i)
		served, arrived = served+r.inTime[name], arrived+r.arrived[name]
		worst = min(worst, float64(r.inTime[name])/float64(r.arrived[name]))
	}
	return float64(served) / float64(arrived), worst
}

// Guards against an account that floods taking the capacity of the others: with old reports
// the daemons together start more for it than its share, or they start too little and leave
// servers idle. Streams run for longer than the reports' age many times over.
func TestFloodOfOneAccount(t *testing.T) {
	for kind, load := range map[string]replayLoad{"plain calls": plainCalls, "streams": streams} {
		for _, daemons := range []int{7, 59, 390} {
			for name, floodAt := range map[string]int{"all": daemons, "two": 2} {
				t.Run(fmt.Sprintf("%s, %d daemons, flood at %s", kind, daemons, name), func(t *testing.T) {
					for seed := *demandSeed; seed < *demandSeed+*demandSeeds; seed++ {
						testFlood(t, load, seed, daemons, floodAt)
					}
				})
			}
		}
	}
}

// testFlood compares a day with the flood with the same one without it.
func testFlood(t *testing.T, load replayLoad, seed uint64, daemons, floodAt int) {
	t.Helper()
	const allowed = 0.05 // five in a hundred
	quietAll, quietWorst := newReplay(load, seed, daemons, floodAt).run(false).servedShare()
	r := newReplay(load, seed, daemons, floodAt).run(true)
	all, worst := r.servedShare()
	idle := float64(r.idle) / float64(r.idle+r.busy)
	t.Logf("seed %d: served in time %.3f (worst account %.3f), without the flood %.3f (%.3f); idle while work waits %.3f; flood served %d of %d",
		seed, all, worst, quietAll, quietWorst, idle, r.inTime[floodAccount], r.arrived[floodAccount])
	assert.Check(t, all >= quietAll-allowed, "seed %d: %.3f, without the flood %.3f", seed, all, quietAll)
	assert.Check(t, worst >= quietWorst-allowed, "seed %d: worst account %.3f, without the flood %.3f", seed, worst, quietWorst)
	assert.Check(t, idle <= allowed, "seed %d: idle %.3f", seed, idle)
}
