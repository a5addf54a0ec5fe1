package peerstats

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// usageOf returns the usage of a pool with so many running requests of the account, in
// urgency 2.
func usageOf(account string, running int) []demand.PoolUsage {
	return []demand.PoolUsage{{Pool: "text", Accounts: []demand.AccountUsage{{
		Name: account, Used: 100 * running, Arrived: 200 * running, Recent: 300 * running,
		Classes: []demand.ClassUsage{{Urgency: 2, Running: running, RunningWork: 100 * running}},
	}}}}
}

// demandOf returns the running requests of the account and the daemons of the total.
func demandOf(a *Aggregator, account string) (running, daemons int) {
	total := a.PeerDemand()
	for _, p := range total.Usage {
		for _, u := range p.Accounts {
			for _, c := range u.Classes {
				if u.Name == account {
					running += c.Running
				}
			}
		}
	}
	return running, total.Reporting
}

// Guards against a total that counts a daemon twice or misses one: the leader keeps a sum
// of its hosts' reports, from which it takes those that are replaced or expire.
func TestDemandTotals(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second, third, remote := New(c), New(c), New(c), New(c)
	for i, a := range []*Aggregator{leader, second, third, remote} {
		a.SetOwnDemand(usageOf("acme", 1<<i))
		a.SetOwn(nil, nil, nil)
	}
	leader.SetDataCentreTotal("dc-2", remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()}))
	report := func() {
		second.SetPeerTotal(leader.HandleReport(Report{From: "second", Snapshot: second.Own()}))
		third.SetPeerTotal(leader.HandleReport(Report{From: "third", Snapshot: third.Own()}))
	}
	report()
	report()
	remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()})
	wanted := map[string]struct {
		aggregator       *Aggregator
		running, daemons int
	}{
		"leader":              {leader, 2 + 4 + 8, 3},
		"follower":            {second, 1 + 4 + 8, 3},
		"other follower":      {third, 1 + 2 + 8, 3},
		"another data centre": {remote, 1 + 2 + 4, 3},
	}
	for name, w := range wanted {
		t.Run(name, func(t *testing.T) {
			running, daemons := demandOf(w.aggregator, "acme")
			assert.Equal(t, running, w.running)
			assert.Equal(t, daemons, w.daemons)
		})
	}
	c.Advance(1_000)
	second.SetOwnDemand(usageOf("other", 16))
	second.SetPeerTotal(leader.HandleReport(Report{From: "second", Snapshot: second.Own()}))
	c.Advance(1_200)
	running, daemons := demandOf(leader, "acme")
	assert.Equal(t, running, 0, "the other reports have expired")
	assert.Equal(t, daemons, 1)
	running, _ = demandOf(leader, "other")
	assert.Equal(t, running, 16)
	assert.Equal(t, leader.PeerDemand().Age, clock.Millis(1_200))
}

// Guards against bytes on the wire in deployments that don't share capacity, whose daemons
// may run an earlier version.
func TestNoDemandOnTheWireWhileOff(t *testing.T) {
	c := clock.NewManual(1_000)
	a, b := New(c), New(c)
	before := encodedSize(t, a.Own())
	a.SetOwnDemand(usageOf("acme", 1))
	assert.Assert(t, encodedSize(t, a.Own()) > before)
	a.RemoveOwnDemand()
	assert.Equal(t, encodedSize(t, a.Own()), before)
	reply := a.HandleReport(Report{From: "b", Snapshot: b.Own()})
	assert.Equal(t, encodedSize(t, reply), encodedSize(t, b.Own()))
	assert.Equal(t, a.PeerDemand().Reporting, 0)
}

// encodedSize returns the bytes of a snapshot on the wire; see peer.writeFrame.
func encodedSize(t *testing.T, s Snapshot) int {
	t.Helper()
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.SetCustomStructTag("json")
	assert.NilError(t, encoder.Encode(s))
	return b.Len()
}

const (
	// reportBudget is what the reports of one daemon may take, in bytes/s, and otherReports
	// what their other parts take; see docs/design/load.md.
	reportBudget = 20_000
	otherReports = 4_900
	sizeDaemons  = 390
	sizePools    = 4
	sizeAccounts = 32
)

// Guards against reports that exceed a small host's link: 390 daemons, 32 accounts and 4
// pools. Each daemon sends its own report and gets the total of the others.
func TestDemandReportSize(t *testing.T) {
	tests := map[string]struct {
		perSecond float64      // requests of all daemons
		work      clock.Millis // of each
		urgencies int          // of the requests of one account for one pool
	}{
		"short requests":             {558, 250, 1},
		"six times as many":          {3_350, 250, 1},
		"streams":                    {381, 5_000, 1},
		"streams of two urgencies":   {381, 5_000, 2},
		"streams of three urgencies": {381, 5_000, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			own, total := reportSizes(t, test.perSecond, test.work, test.urgencies)
			perSecond := (own + total) * 1_000 / int(reportPeriod)
			t.Logf("own report %d bytes, total %d bytes, %d bytes/s", own, total, perSecond)
			assert.Check(t, perSecond <= reportBudget-otherReports)
		})
	}
}

// reportSizes returns the bytes that the demand adds to the largest own report and to the
// total, after ten seconds of requests that arrive at regular intervals.
func reportSizes(t *testing.T, perSecond float64, work clock.Millis, urgencies int) (own, total int) {
	t.Helper()
	c := clock.NewManual(1_000)
	leader := New(c)
	empty := encodedSize(t, leader.Own())
	ledgers := make([]*demand.Ledger, sizeDaemons)
	for i := range ledgers {
		ledgers[i] = demand.NewLedger()
	}
	const seconds = 10
	var running []*demand.Request
	var startedAt []clock.Millis
	for i := range int(perSecond * seconds) {
		c.Advance(1_000 + clock.Millis(float64(i)/perSecond*1_000) - c.Now())
		class := demand.Class{
			Pool:    fmt.Sprintf("pool-%d", i%sizePools),
			Account: fmt.Sprintf("account-%02d", (i/sizePools)%sizeAccounts),
			Urgency: (i / sizePools / sizeAccounts) % urgencies,
		}
		r := ledgers[(i*167)%sizeDaemons].Arrive(class, work, c.Now())
		r.Start(c.Now())
		running, startedAt = append(running, r), append(startedAt, c.Now())
		for len(running) > 0 && c.Now()-startedAt[0] >= work {
			running[0].End(c.Now())
			running, startedAt = running[1:], startedAt[1:]
		}
	}
	for i, l := range ledgers {
		l.SetPeers(nil, sizeDaemons, c.Now())
		s := Snapshot{Demand: l.Usage(c.Now()), DemandDaemons: 1}
		own = max(own, encodedSize(t, s)-empty)
		leader.HandleReport(Report{From: fmt.Sprintf("%s-%d", strings.Repeat("h", 8), i), Snapshot: s})
	}
	return own, encodedSize(t, leader.DataCentreTotal()) - empty
}
