package loadbalance

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

var (
	limitSeed  = flag.Uint64("limit-seed", 1, "first seed of the tests of rate limits")
	limitSeeds = flag.Uint64("limit-seeds", 1, "number of seeds that TestLimitOfAllDaemons runs")
)

// newRand returns a source of random numbers and logs its seed.
func newRand(t *testing.T) *rand.Rand {
	t.Helper()
	t.Logf("seed %d", *limitSeed)
	return rand.New(rand.NewPCG(*limitSeed, 0))
}

// hostNames returns the sorted names of n hosts.
func hostNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("host-%03d", i)
	}
	return names
}

func valid(perSecond float64) Limit { return Limit{Kind: ValidLimit, PerSecond: perSecond} }

// limitFleet is a fleet of daemons that place requests at one limited server and exchange
// reports within their groups.
type limitFleet struct {
	view     *fleet.View
	server   fleet.Entry
	hosts    []string
	daemons  []*Balancer
	group    []int                   // daemons of the same group are in touch; negative while one is down or frozen
	waits    map[[2]int]clock.Millis // until a daemon (first) asks another one for a token
	limit    Limit
	arrivals []clock.Millis
	now      clock.Millis
}

const fleetReportPeriod = 400 * clock.Millis(1)

func newLimitFleet(daemons int, limit Limit) *limitFleet {
	f := &limitFleet{
		view: fleet.NewView().WithServer(startedServer("e1", 5), 0), hosts: hostNames(daemons), group: make([]int, daemons),
		limit: limit, now: 100_000, waits: make(map[[2]int]clock.Millis),
	}
	f.server, _ = f.view.Server("e1")
	for range daemons {
		f.daemons = append(f.daemons, NewBalancer())
	}
	return f
}

// exchange lets each daemon report to those that it is in touch with.
func (f *limitFleet) exchange() {
	peers := make(map[int]LimitPeers)
	for i, b := range f.daemons {
		if f.group[i] < 0 {
			continue
		}
		reports, shares := b.OwnLimits(f.now)
		p := peers[f.group[i]]
		p.Reports = append(p.Reports, reports...)
		if shares {
			p.Members = append(p.Members, MemberID(f.hosts[i]))
		}
		peers[f.group[i]] = p
	}
	for i, b := range f.daemons {
		if f.group[i] >= 0 {
			b.SetLimitPeers(peers[f.group[i]], f.hosts, f.hosts[i], f.now)
		}
	}
}

// send lets the daemon place a request. It reports whether the server got it.
func (f *limitFleet) send(i int) bool {
	b := f.daemons[i]
	c, result := b.Choose(f.view, Request{Pool: textPool(), Self: f.hosts[i], Hosts: f.hosts, Now: f.now})
	if result == RateLimited && f.borrow(i) {
		c, result = b.Choose(f.view, Request{Pool: textPool(), Self: f.hosts[i], Hosts: f.hosts, Now: f.now})
	}
	if result != Chosen {
		return false
	}
	f.arrivals = append(f.arrivals, f.now)
	b.RecordLimit(&f.server, f.limit, f.now, f.now)
	b.Done(&c)
	return true
}

// borrow lets the daemon borrow a token from one that it is in touch with.
func (f *limitFleet) borrow(i int) bool {
	for _, owner := range f.daemons[i].LimitOwners(&f.server) {
		j := slices.Index(f.hosts, owner)
		if j == i || f.group[j] != f.group[i] || f.now < f.waits[[2]int{i, j}] {
			continue
		}
		lent, wait := f.daemons[j].LendToken("e1", 5, f.now)
		f.waits[[2]int{i, j}] = f.now + wait
		if lent {
			f.daemons[i].ReceiveToken("e1", f.now)
			return true
		}
	}
	return false
}

// run lets requests come at the rate for the duration; pick returns the daemon of each.
func (f *limitFleet) run(duration clock.Millis, perSecond float64, pick func() int) {
	until, due := f.now+duration, 0.0
	for ; f.now < until; f.now += 5 {
		if f.now%fleetReportPeriod == 0 {
			f.exchange()
		}
		for due += perSecond * 0.005; due >= 1; due-- {
			if i := pick(); f.group[i] >= 0 {
				f.send(i)
			}
		}
	}
}

// since returns the arrivals since the time.
func (f *limitFleet) since(from clock.Millis) []clock.Millis {
	i, _ := slices.BinarySearch(f.arrivals, from)
	return f.arrivals[i:]
}

// mostIn4s returns the highest number of the arrivals in any 4 s.
func mostIn4s(arrivals []clock.Millis) (most int) {
	first := 0
	for last, at := range arrivals {
		for at-arrivals[first] >= 4_000 {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowedIn4s(perSecond float64) float64 { return 1.5*perSecond*4 + 5 }

// TestLimitOfAllDaemons has daemons send far more than a server's limit allows. Together they
// must send no more than that, and use most of it.
func TestLimitOfAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 2, 7, 390} {
		for _, perSecond := range []float64{0.1, 0.5, 1.3, 15, 300} {
			t.Run(fmt.Sprintf("%d daemons, %v a second", daemons, perSecond), func(t *testing.T) {
				for seed := *limitSeed; seed < *limitSeed+*limitSeeds; seed++ {
					f := newLimitFleet(daemons, valid(perSecond))
					rng := rand.New(rand.NewPCG(seed, 0))
					everyOne := func() int { return rng.IntN(daemons) }
					f.run(5_000, 1_000, everyOne)
					start := f.now
					f.run(20_000, 1_000, everyOne)
					most := mostIn4s(f.since(start))
					assert.Check(t, float64(most) <= allowedIn4s(perSecond), "seed %d: %d in 4 s", seed, most)
					used, needed := float64(len(f.since(start))), math.Floor(0.8*perSecond*20)
					t.Logf("seed %d: %v of at least %v used", seed, used, needed)
					assert.Check(t, used >= needed, "seed %d: %v used", seed, used)
				}
			})
		}
	}
}

// TestLimitUnderFaults has daemons come, go, freeze and be cut off from each other at random
// moments, and the rate change. They must never send more than the limit allows.
func TestLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 12).Draw(t, "daemons")
		perSecond := rapid.SampledFrom([]float64{0.1, 0.5, 1, 4, 15, 60}).Draw(t, "per second")
		f := newLimitFleet(daemons, valid(perSecond))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		pick := func() int { return rng.IntN(daemons) }
		f.run(4_000, 300, pick)
		start := f.now
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"cut", "split", "freeze", "heal"}).Draw(t, "fault") {
			case "cut":
				f.group[i] = i + 1
			case "split":
				for j := range f.group {
					f.group[j] = max(0, min(j-i, 1))
				}
			case "freeze":
				f.group[i] = -1
			case "heal":
				clear(f.group)
			}
			f.run(clock.Millis(rapid.IntRange(500, 8_000).Draw(t, "duration")), 300, pick)
		}
		if most := mostIn4s(f.since(start)); float64(most) > allowedIn4s(perSecond) {
			t.Fatalf("%d requests in 4 s at %v a second", most, perSecond)
		}
	})
}

// TestLimitOnBothSidesOfPartition cuts off a minority of the daemons that has had the whole
// limit to itself. Both sides together must not send more than the limit allows.
func TestLimitOnBothSidesOfPartition(t *testing.T) {
	f := newLimitFleet(9, valid(4))
	rng := newRand(t)
	pick := func() int { return rng.IntN(9) }
	f.run(5_000, 200, pick)
	owners := f.daemons[0].LimitOwners(&f.server)
	assert.Assert(t, len(owners) < 9/2)
	for _, owner := range owners {
		f.group[slices.Index(f.hosts, owner)] = 1
	}
	start := f.now
	f.run(40_000, 200, pick)
	most := mostIn4s(f.since(start))
	assert.Assert(t, float64(most) <= allowedIn4s(4), "%d in 4 s", most)
	assert.Assert(t, len(f.since(start)) >= 4*30, "%d of 160", len(f.since(start)))
}

// TestShareOfLostDaemonIsTakenOver checks that the rate of a limited server is used after
// most of the daemons that shared it have gone one after the other.
func TestShareOfLostDaemonIsTakenOver(t *testing.T) {
	f := newLimitFleet(7, valid(0.5))
	alive := 7
	rng := newRand(t)
	pick := func() int { return rng.IntN(alive) }
	f.run(5_000, 200, pick)
	for alive > 1 {
		alive--
		f.group[alive] = -1
		f.run(memberMemory+memberTimeout, 200, pick)
	}
	start := f.now
	f.run(40_000, 200, pick)
	assert.Assert(t, len(f.since(start)) >= 16, "%d of 20", len(f.since(start)))
}

// TestQuietLimitIsShared checks that daemons that have had no requests for long still divide
// the limit among all of them.
func TestQuietLimitIsShared(t *testing.T) {
	f := newLimitFleet(30, valid(0.5))
	rng := newRand(t)
	pick := func() int { return rng.IntN(30) }
	f.run(5_000, 200, pick)
	f.run(400_000, 0, pick)
	start := f.now
	f.run(20_000, 200, pick)
	most := mostIn4s(f.since(start))
	assert.Assert(t, float64(most) <= allowedIn4s(0.5), "%d in 4 s", most)
}

// TestLimitEnds checks that all daemons notice the end of a limit, at a rate near nothing too,
// and that the whole load then comes back.
func TestLimitEnds(t *testing.T) {
	for _, limit := range []Limit{valid(0.1), {Kind: RaisedLimit, PerSecond: MinLimit}, valid(15)} {
		t.Run(fmt.Sprint(limit.PerSecond), func(t *testing.T) {
			f := newLimitFleet(7, limit)
			rng := newRand(t)
			pick := func() int { return rng.IntN(7) }
			f.run(30_000, 100, pick)
			f.limit = Limit{Kind: NoLimit}
			f.run(clock.Millis(2_000/limit.PerSecond)+2*fleetReportPeriod, 100, pick)
			start := f.now
			f.run(4_000, 100, pick)
			assert.Equal(t, len(f.since(start)), 400)
		})
	}
}

// TestStatementsOfLimits checks which of several statements counts.
func TestStatementsOfLimits(t *testing.T) {
	const now = 100_000
	report := func(perSecond float64, age clock.Millis) func(b *Balancer, e *fleet.Entry) {
		return func(b *Balancer, _ *fleet.Entry) {
			b.SetLimitPeers(LimitPeers{Reports: []LimitReport{{ID: "e1", StartedAt: 5, PerSecond: perSecond, Age: age, ValueAge: age}}}, nil, "", now)
		}
	}
	own := func(limit Limit, sentAt, answeredAt clock.Millis) func(b *Balancer, e *fleet.Entry) {
		return func(b *Balancer, e *fleet.Entry) { b.RecordLimit(e, limit, sentAt, answeredAt) }
	}
	none := Limit{Kind: NoLimit}
	cases := map[string]struct {
		statements []func(b *Balancer, e *fleet.Entry)
		want       float64
	}{
		"own":                             {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500)}, 3},
		"ended":                           {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), own(none, 99_600, 99_700)}, 0},
		"sent before it was stated":       {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), own(none, 99_400, 99_700)}, 3},
		"malformed afterwards":            {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), own(Limit{Kind: MalformedLimit}, 99_600, 99_700)}, 3},
		"malformed alone":                 {[]func(*Balancer, *fleet.Entry){own(Limit{Kind: MalformedLimit}, 99_600, 99_700)}, 0},
		"unknown afterwards":              {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), own(Limit{}, 99_600, 99_700)}, 3},
		"endless afterwards":              {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), own(Limit{Kind: EndlessLimit}, 99_600, 99_700)}, 0},
		"changed":                         {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), own(valid(4), 99_100, 99_600)}, 4},
		"of a peer":                       {[]func(*Balancer, *fleet.Entry){report(3, 500)}, 3},
		"ended, of a peer":                {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), report(0, 400)}, 0},
		"ended before, of a peer":         {[]func(*Balancer, *fleet.Entry){own(valid(3), 99_000, 99_500), report(0, 600)}, 3},
		"ended and stated at once":        {[]func(*Balancer, *fleet.Entry){report(0, 500), report(3, 500)}, 3},
		"stated and ended at once":        {[]func(*Balancer, *fleet.Entry){report(3, 500), report(0, 500)}, 3},
		"stated before the end, of peers": {[]func(*Balancer, *fleet.Entry){report(0, 400), report(3, 500)}, 0},
		"too old":                         {[]func(*Balancer, *fleet.Entry){report(3, limitReportLifetime)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBalancer()
			v := fleet.NewView().WithServer(startedServer("e1", 5), 0)
			e, _ := v.Server("e1")
			for _, s := range c.statements {
				s(b, &e)
			}
			got := 0.0
			if l := b.limits.of(&e); l != nil {
				got = l.perSecond
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// TestLimitOfEarlierStart checks that a limit ends with the start of a server that stated it.
func TestLimitOfEarlierStart(t *testing.T) {
	cases := map[string]struct {
		startedAt int64
		limited   int
	}{"same start": {5, 1}, "later start": {6, 0}, "unknown start": {0, 1}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, v := NewBalancer(), fleet.NewView().WithServer(startedServer("e1", 5), 0)
			e, _ := v.Server("e1")
			b.RecordLimit(&e, valid(3), 1_000, 1_000)
			v = fleet.NewView().WithServer(startedServer("e1", c.startedAt), 0)
			assert.Equal(t, b.LimitedServers(v), c.limited)
		})
	}
}

// TestLimitsAreForgotten checks that limits of lost servers and ended ones don't accumulate.
func TestLimitsAreForgotten(t *testing.T) {
	b, v := NewBalancer(), fleet.NewView().WithServer(startedServer("e1", 5), 0).WithServer(startedServer("e2", 5), 0)
	for _, id := range []string{"e1", "e2"} {
		e, _ := v.Server(id)
		b.RecordLimit(&e, valid(3), 1_000, 1_000)
	}
	e, _ := v.Server("e2")
	b.RecordLimit(&e, Limit{Kind: NoLimit}, 2_000, 2_000)
	b.Retain(func(string) bool { return true }, 2_000+endedLimitMemory+1)
	assert.Equal(t, len(b.limits.servers), 1)
	b.Retain(func(string) bool { return false }, 2_000+endedLimitMemory+limitReportLifetime+2)
	assert.Equal(t, len(b.limits.servers), 0)
}

// TestReportsOfLimitsAreBounded checks that the latest changes are reported.
func TestReportsOfLimitsAreBounded(t *testing.T) {
	b := NewBalancer()
	for i := range 10 * maxLimitReports {
		e := fleet.Entry{Server: startedServer(fmt.Sprint(i), 5)}
		at := clock.Millis(1_000 + i)
		b.RecordLimit(&e, valid(3), at, at)
	}
	reports, _ := b.OwnLimits(5_000)
	assert.Equal(t, len(reports), maxLimitReports)
	assert.Equal(t, reports[0].ID, fmt.Sprint(10*maxLimitReports-1))
}

// TestLentTokensAreNotDoubled lends all tokens of a daemon. Lender and borrower together must
// send no more than the lender's share, and a borrowed token must lapse.
func TestLentTokensAreNotDoubled(t *testing.T) {
	f := newLimitFleet(2, valid(1))
	f.run(10_000, 50, func() int { return 0 })
	f.run(10_000, 0, nil)
	var waits []clock.Millis
	for range 7 {
		lent, wait := f.daemons[0].LendToken("e1", 5, f.now)
		if lent {
			f.daemons[1].ReceiveToken("e1", f.now)
		}
		waits = append(waits, wait)
	}
	assert.DeepEqual(t, waits, []clock.Millis{0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000})
	assert.Assert(t, !f.send(0))
	sent := 0
	for range 10 {
		if f.send(1) {
			sent++
		}
	}
	assert.Equal(t, sent, 1, "its own bucket is empty at first")
	f.daemons[1].ReceiveToken("e1", f.now)
	f.now += borrowedLifetime
	assert.Assert(t, !f.send(1), "lapsed")
}

// TestScheduledReturns checks that callers whose requests rate limits reject return at the
// rate of the limits, those that can't wait so long aside.
func TestScheduledReturns(t *testing.T) {
	f := newLimitFleet(7, valid(0.5))
	rng := newRand(t)
	f.run(5_000, 100, func() int { return rng.IntN(7) })
	var returns []clock.Millis
	for i, b := range f.daemons {
		for range 10 {
			returns = append(returns, b.ScheduleReturn(f.view, "text", f.hosts[i], 1_000_000, f.now))
		}
	}
	slices.Sort(returns)
	// In 40 s the limit allows 20 requests.
	inTime, _ := slices.BinarySearch(returns, 40_000)
	assert.Assert(t, inTime >= 14 && inTime <= 26, "%d of 20", inTime)
	b := f.daemons[0]
	first := b.ScheduleReturn(f.view, "text", f.hosts[0], 100, f.now)
	assert.Equal(t, b.ScheduleReturn(f.view, "text", f.hosts[0], 100, f.now), first)
}

// BenchmarkChooseAmongLimited measures the choice among 1,800 servers of 390 daemons.
func BenchmarkChooseAmongLimited(b *testing.B) {
	const now = 100_000
	for name, limited := range map[string]int{"none": 0, "one": 1, "all": 1_800} {
		b.Run(name, func(b *testing.B) {
			balancer, editor, hosts := NewBalancer(), fleet.NewView().Edit(), hostNames(390)
			for i := range 1_800 {
				editor.SetServer(startedServer(fmt.Sprintf("e%d", i), 5), 0)
			}
			v := editor.View()
			for i := range limited {
				e, _ := v.Server(fmt.Sprintf("e%d", i))
				balancer.RecordLimit(&e, valid(5), now, now)
			}
			balancer.SetLimitPeers(LimitPeers{}, hosts, hosts[0], now)
			for i := range b.N {
				c, result := balancer.Choose(v, Request{Pool: textPool(), Hosts: hosts, Self: hosts[0], Prompt: prompt("document", 200), Salt: uint64(i) << 32, Now: now + 1_000})
				if result == Chosen {
					balancer.Done(&c)
				}
			}
		})
	}
}
