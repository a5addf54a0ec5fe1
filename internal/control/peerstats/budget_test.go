package peerstats

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// fullSnapshot returns a snapshot with all parts at their bounds: the loads and tokens of
// servers, a limited server and the daemons, demand of accounts with three urgencies, speeds and
// prefixes.
func fullSnapshot(servers, daemons, accounts int) (Snapshot, map[string]loadbalance.TokenLoad) {
	s := Snapshot{Loads: make(map[string]loadbalance.Load), DemandDaemons: daemons}
	tokens := make(map[string]loadbalance.TokenLoad)
	for i := range servers {
		id := fmt.Sprintf("server-%03d", i)
		s.Loads[id] = loadbalance.Load{Calls: 16, Prefill: 100}
		tokens[id] = loadbalance.TokenLoad{Private: 70_000 + i}
		if i < 100 {
			tokens[id] = loadbalance.TokenLoad{Private: 70_000 + i, Shared: map[uint32]int{1<<31 + uint32(i): 5_382}}
		}
		s.Speeds = append(s.Speeds, loadbalance.SpeedReport{
			Server: uint32(i+1) << 20, Weight: 12_345 + i, LogRatio: -123_456, Pace: 250, PaceAge: 1_100,
		})
	}
	for i := range daemons {
		s.LimitMembers = append(s.LimitMembers, 1<<31+uint32(i))
	}
	s.Limits = []loadbalance.LimitReport{{ID: "server-000", StartedAt: 1_700_000_000_000, PerSecond: 3}}
	for i := range 32 {
		s.Prefixes = append(s.Prefixes, loadbalance.PrefixReport{Prefix: uint32(i+1) << 20, Work: 1_234 + i})
	}
	for i := range 4 {
		u := demand.PoolUsage{Pool: fmt.Sprintf("pool-%d", i)}
		for j := range accounts {
			a := demand.AccountUsage{Name: fmt.Sprintf("account-%02d", j), Used: 15_000 + j, Arrived: 15_000 + j, Recent: 15_000 + j}
			for urgency := range 3 {
				a.Classes = append(a.Classes, demand.ClassUsage{Urgency: urgency, Running: 5, Waiting: 2, RunningWork: 25_000, WaitingWork: 10_000})
			}
			u.Accounts = append(u.Accounts, a)
		}
		s.Demand = append(s.Demand, u)
	}
	return s, tokens
}

// fullReports calls f with each own report of a daemon and the reply to it, and with the
// daemon's aggregator after it, in reports more rounds. All other daemons together report all
// parts at their bounds, and the daemon itself a tenth of the servers and accounts, and all
// speeds and prefixes.
func fullReports(daemons, rounds int, f func(own, reply Snapshot, daemon *Aggregator)) {
	c := clock.NewManual(1_000)
	leader, daemon := New(c), New(c)
	for _, a := range []*Aggregator{leader, daemon} {
		a.SetDaemons(daemons)
	}
	for range rounds {
		all, tokens := fullSnapshot(140, daemons-1, 32)
		all.Tokens = newTokenReport(all.Loads, tokens)
		leader.HandleReport(Report{From: "others", Snapshot: all})
		some, tokens := fullSnapshot(14, 1, 3)
		daemon.SetOwn(some.Loads, nil, nil)
		daemon.SetOwnTokens(tokens)
		daemon.SetOwnSpeeds(all.Speeds[:128])
		daemon.SetOwnPrefixes(all.Prefixes)
		daemon.SetOwnLimits(some.Limits, some.LimitMembers)
		daemon.SetOwnDemand(some.Demand)
		own := daemon.ownReport()
		reply := leader.HandleReport(Report{From: "daemon", Snapshot: own})
		daemon.SetPeerTotal(reply)
		f(own, reply, daemon)
		c.Advance(reportPeriod)
	}
}

func namedAccounts(s Snapshot) int {
	n := 0
	for _, p := range s.Demand {
		n += len(p.Accounts)
	}
	return n
}

// TestSumOfReports guards against reports that exceed a small host's link at 390 daemons where
// one deployment has all parts at their bounds, and against a daemon that loses its loads,
// tokens, limits or the best known speeds for it.
func TestSumOfReports(t *testing.T) {
	const rounds = 2 * slowPeriod
	sum := 0
	fullReports(sizeDaemons, rounds, func(own, reply Snapshot, daemon *Aggregator) {
		sum += encodedSize(t, own) + encodedSize(t, reply)
		t.Logf("own report %d bytes with %d speeds, %d accounts; reply %d bytes with %d speeds, %d prefixes, %d accounts",
			encodedSize(t, own), len(own.Speeds), namedAccounts(own), encodedSize(t, reply), len(reply.Speeds), len(reply.Prefixes), namedAccounts(reply))
		assert.Equal(t, len(daemon.PeerLoads()), 140)
		assert.Equal(t, len(daemon.PeerLimits().Members), sizeDaemons-1)
		speeds := daemon.PeerSpeeds()
		assert.Assert(t, len(speeds) >= 100, "%d speeds", len(speeds))
		tokens, _, ok := daemon.PeerTokens()
		assert.Assert(t, ok)
		assert.Equal(t, tokens["server-000"].Shared[1<<31], 5_382)
		arrived := 0
		for _, p := range daemon.PeerDemand().Usage {
			for _, a := range p.Accounts {
				arrived += a.Arrived
			}
			if p.Rest != nil {
				arrived += p.Rest.Arrived
			}
		}
		assert.Equal(t, namedAccounts(own), 12)
		assert.Equal(t, arrived, 4*(32*15_000+31*32/2), "the demand is counted, by name or not")
	})
	perSecond := sum / rounds * 1_000 / int(reportPeriod)
	t.Logf("%d bytes/s", perSecond)
	assert.Assert(t, perSecond <= reportBudget, "%d bytes/s", perSecond)
}

// TestFewDaemonsReportAll guards against decisions from less than is known in the deployments
// of today, whose reports are far from exceeding a link.
func TestFewDaemonsReportAll(t *testing.T) {
	for _, daemons := range []int{7, 59, 67} {
		fullReports(daemons, slowPeriod, func(own, reply Snapshot, _ *Aggregator) {
			assert.Equal(t, len(own.Speeds), 128)
			assert.Equal(t, len(own.Prefixes), 32)
			assert.Equal(t, namedAccounts(own), 12)
			assert.Equal(t, len(reply.Speeds), 128)
			assert.Equal(t, len(reply.Prefixes), 32)
			assert.Equal(t, len(reply.LimitMembers), daemons-1)
			assert.Equal(t, namedAccounts(reply), 128)
		})
	}
}

// TestSlowPartsExpire guards against speeds and limit members that a daemon keeps for good
// because the replies with newer ones were lost.
func TestSlowPartsExpire(t *testing.T) {
	c := clock.NewManual(1_000)
	a := New(c)
	all, _ := fullSnapshot(10, 10, 1)
	a.SetPeerTotal(all)
	for range 5 {
		c.Advance(reportPeriod)
		assert.Equal(t, len(a.PeerLimits().Members), 10)
		a.SetPeerTotal(Snapshot{KeepSlow: true})
	}
	assert.Equal(t, len(a.PeerLimits().Members), 0)
	assert.Equal(t, len(a.PeerSpeeds()), 0)
}
