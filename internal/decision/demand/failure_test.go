package demand

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	failureCapacity = 15.0
	failureWork     = 100 * clock.Millis(1)
	failureDeadline = 3_000 * clock.Millis(1)
	failureQuiet    = 12.0 // requests/s
	failureFlood    = 240.0
	failureTime     = 16_000 * clock.Millis(1)
	failureAt       = 6_000 * clock.Millis(1)
	failureWindow   = 2_000 * clock.Millis(1) // in which the accounts' shares are compared
)

// failureDaemon is a daemon that may be cut off or frozen.
type failureDaemon struct {
	replayDaemon
	index      int
	part       int // of a divided network; daemons of different parts exchange no reports
	frozen     bool
	held       []string // accounts of the requests that arrived while it was frozen
	lastReport []PoolUsage
	seen       map[*failureDaemon]seenReport
}

type seenReport struct {
	usage []PoolUsage
	at    clock.Millis
}

// failureRun is a group of daemons whose servers have no limit of their own, so that only
// the shares bound what is started: two accounts want far more than half of the
// capacity each, and one little.
type failureRun struct {
	seed    uint64
	rng     *rand.Rand
	now     clock.Millis
	daemons []*failureDaemon
	running []servedRequest
	starts  map[string][]clock.Millis
	held    int // requests of the quiet account that waited at a daemon that has totals
	alone   int // the same, at one without: it divides its part of the capacity by its own figures
	lost    int // requests of the quiet account that weren't started before their deadline
}

func newFailureRun(seed uint64, daemons int) *failureRun {
	r := &failureRun{seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), now: 1_000, starts: make(map[string][]clock.Millis)}
	for range daemons {
		r.join()
	}
	return r
}

// newLedger returns the ledger of a daemon that starts.
func (r *failureRun) newLedger(index int) *Ledger {
	l := NewLedger()
	l.SetHost(fmt.Sprintf("host-%d-%d", r.seed, index))
	l.SetBeginning(r.now)
	l.SetHostCount(func() int { return len(r.daemons) })
	return l
}

func (r *failureRun) join() {
	index := len(r.daemons)
	r.daemons = append(r.daemons, &failureDaemon{
		replayDaemon: replayDaemon{ledger: r.newLedger(index)}, index: index, seen: make(map[*failureDaemon]seenReport),
	})
}

func (r *failureRun) restart(d *failureDaemon) {
	d.replayDaemon = replayDaemon{ledger: r.newLedger(d.index)}
	d.lastReport, d.seen = nil, make(map[*failureDaemon]seenReport)
}

func (r *failureRun) leave(d *failureDaemon) {
	r.daemons = slices.DeleteFunc(r.daemons, func(other *failureDaemon) bool { return other == d })
}

func (r *failureRun) unfreeze(d *failureDaemon) {
	d.frozen = false
	for _, account := range d.held {
		r.arriveAt(d, account)
	}
	d.held = nil
}

// arrive draws the requests of the account that arrive in one ms.
func (r *failureRun) arrive(account string, perSecond float64) {
	if r.rng.Float64() >= perSecond/1_000 {
		return
	}
	if d := r.daemons[r.rng.IntN(len(r.daemons))]; d.frozen {
		d.held = append(d.held, account)
	} else {
		r.arriveAt(d, account)
	}
}

func (r *failureRun) arriveAt(d *failureDaemon, account string) {
	q := &replayRequest{class: Class{Pool: replayPool, Account: account}, arrivedAt: r.now}
	q.record = d.ledger.Arrive(q.class, failureWork, r.now)
	if !r.start(d, q) {
		d.waiting = append(d.waiting, q)
		switch {
		case account != "quiet":
		case d.ledger.peers.isFresh(r.now):
			r.held++
		default:
			r.alone++
		}
	}
}

// start starts the request unless its account uses more than its share.
func (r *failureRun) start(d *failureDaemon, q *replayRequest) bool {
	if d.ledger.Share(q.class, failureCapacity, r.now).Excess() {
		return false
	}
	q.record.Start(r.now)
	r.starts[q.class.Account] = append(r.starts[q.class.Account], r.now)
	r.running = append(r.running, servedRequest{q, r.now + failureWork})
	return true
}

func (r *failureRun) report() {
	for _, d := range r.daemons {
		if !d.frozen {
			d.lastReport = d.ledger.Usage(r.now)
		}
	}
}

// deliver gives each daemon the reports of those that it reaches, and leaves out those of
// the others when they expire.
func (r *failureRun) deliver() {
	for _, d := range r.daemons {
		if d.frozen {
			continue
		}
		for _, other := range r.daemons {
			if other != d && other.part == d.part && !other.frozen && other.lastReport != nil {
				d.seen[other] = seenReport{other.lastReport, r.now - replayDelay}
			}
		}
		total := PeerTotal{Age: totalLifetime}
		var usages [][]PoolUsage
		for other, s := range d.seen {
			if r.now-s.at < totalLifetime && slices.Contains(r.daemons, other) {
				usages = append(usages, s.usage)
				total.Age = min(total.Age, r.now-s.at)
			}
		}
		total.Usage, total.Reporting = Total(usages...), len(usages)
		d.ledger.SetPeerTotal(total, len(r.daemons), r.now)
	}
}

func (r *failureRun) run(fail map[clock.Millis]func()) *failureRun {
	begin := r.now
	for end := begin + failureTime; r.now < end; r.now++ {
		if f := fail[r.now-begin]; f != nil {
			f()
		}
		switch r.now % replayReports {
		case 0:
			r.report()
		case replayDelay:
			r.deliver()
		}
		r.arrive("flood-1", failureFlood)
		r.arrive("flood-2", failureFlood)
		r.arrive("quiet", failureQuiet)
		if r.now%replayPoll == 0 {
			r.poll()
		}
		r.running = slices.DeleteFunc(r.running, func(s servedRequest) bool {
			if s.until > r.now {
				return false
			}
			s.request.record.End(r.now)
			return true
		})
	}
	return r
}

func (r *failureRun) poll() {
	for _, d := range r.daemons {
		if d.frozen {
			continue
		}
		refused := make(map[string]bool)
		d.waiting = slices.DeleteFunc(d.waiting, func(q *replayRequest) bool {
			if r.now-q.arrivedAt >= failureDeadline {
				q.record.End(r.now)
				if q.class.Account == "quiet" {
					r.lost++
				}
				return true
			}
			refused[q.class.Account] = refused[q.class.Account] || !r.start(d, q)
			return !refused[q.class.Account]
		})
	}
}

// extremes returns the least and the most work that the account started in any window
// after the floods had settled, in ms per ms.
func (r *failureRun) extremes(account string) (least, most float64) {
	const settled = 1_000 + failureAt - failureWindow/2
	least = failureCapacity
	for from := settled; from+failureWindow <= 1_000+failureTime; from += 100 {
		n := 0
		for _, at := range r.starts[account] {
			if at >= from && at < from+failureWindow {
				n++
			}
		}
		perMs := float64(n) * float64(failureWork) / float64(failureWindow)
		least, most = min(least, perMs), max(most, perMs)
	}
	return least, most
}

// Guards against daemons that together give an account twice its share, or nothing, while
// some of them lack the reports of the others, or act on old ones.
func TestSharesWhenDaemonsFail(t *testing.T) {
	failures := map[string]func(r *failureRun) map[clock.Millis]func(){
		"none": func(*failureRun) map[clock.Millis]func() { return nil },
		"a daemon restarts": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){failureAt: func() { r.restart(r.daemons[0]) }}
		},
		"all daemons restart": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){failureAt: func() {
				for _, d := range r.daemons {
					r.restart(d)
				}
			}}
		},
		"a daemon is cut off": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){
				failureAt:         func() { r.daemons[0].part = 1 },
				failureAt + 5_000: func() { r.daemons[0].part = 0 },
			}
		},
		"the network falls into three parts": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){failureAt: func() {
				for i, d := range r.daemons {
					d.part = i % 3
				}
			}}
		},
		"all links fail": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){failureAt: func() {
				for i, d := range r.daemons {
					d.part = i
				}
			}}
		},
		"a daemon freezes for 3 s": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){
				failureAt:         func() { r.daemons[0].frozen = true },
				failureAt + 3_000: func() { r.unfreeze(r.daemons[0]) },
			}
		},
		"a daemon joins": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){failureAt: r.join}
		},
		"a daemon leaves": func(r *failureRun) map[clock.Millis]func() {
			return map[clock.Millis]func(){failureAt: func() { r.leave(r.daemons[0]) }}
		},
	}
	for name, failure := range failures {
		for _, daemons := range []int{2, 7, 59} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				for seed := *demandSeed; seed < *demandSeed+*demandSeeds; seed++ {
					r := newFailureRun(seed, daemons)
					r.run(failure(r))
					// The quiet account's part goes to the floods.
					fair := (failureCapacity - failureQuiet*float64(failureWork)/1_000) / 2
					for _, account := range []string{"flood-1", "flood-2"} {
						least, most := r.extremes(account)
						t.Logf("seed %d: %s started %.1f to %.1f of %.1f; of the quiet account %d held, %d where totals lack, %d lost", seed, account, least, most, fair, r.held, r.alone, r.lost)
						assert.Check(t, most < 2*fair, "seed %d: %s started %.1f, twice its share of %.1f", seed, account, most, fair)
						assert.Check(t, least > 0, "seed %d: %s started nothing", seed, account)
					}
					assert.Check(t, r.held == 0, "seed %d: %d requests of the quiet account waited", seed, r.held)
					assert.Check(t, r.lost == 0, "seed %d: %d requests of the quiet account were lost", seed, r.lost)
				}
			})
		}
	}
}
