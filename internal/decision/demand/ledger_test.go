package demand

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// ignoreCodec leaves out the fields that only the codec reads, and the difference between
// nil and empty lists, which is none on the wire's receiving end.
var ignoreCodec = cmp.Options{cmpopts.IgnoreUnexported(PoolUsage{}, AccountUsage{}), cmpopts.EquateEmpty()}

// Guards against a request that is counted twice, or that stays after its end.
func TestRequestIsCountedOnce(t *testing.T) {
	l := NewLedger()
	counts := func(now clock.Millis) ClassUsage {
		for _, p := range l.Usage(now) {
			for _, a := range p.Accounts {
				for _, c := range a.Classes {
					return c
				}
			}
		}
		return ClassUsage{}
	}
	r := l.Arrive(Class{Pool: "p", Account: "a", Urgency: 3}, 100, 101_000)
	assert.DeepEqual(t, counts(101_000), ClassUsage{Urgency: 3, Waiting: 1, WaitingWork: 100}, ignoreCodec)
	r.Start(101_010)
	r.Start(101_020)
	assert.DeepEqual(t, counts(101_020), ClassUsage{Urgency: 3, Running: 1, RunningWork: 100}, ignoreCodec)
	assert.Equal(t, l.Usage(101_020)[0].Accounts[0].Used, 50, "100 ms over 2 s, once")
	r.End(101_200)
	r.End(101_300)
	assert.DeepEqual(t, counts(101_300), ClassUsage{}, ignoreCodec)
	l.SetPeers(nil, 1, 160_000)
	assert.Equal(t, len(l.pools["p"].accounts), 0, "forgotten")
}

// Guards against an account that is charged for work that wasn't done.
func TestUnusedWorkIsGivenBack(t *testing.T) {
	l := NewLedger()
	r := l.Arrive(Class{Pool: "p", Account: "a"}, 1_000, 101_000)
	r.Start(101_000)
	r.End(101_100)
	l.mu.Lock()
	defer l.mu.Unlock()
	used := l.pools["p"].accounts["a"].used(101_100)
	assert.Assert(t, used > 0.045 && used < 0.05, "%v for 100 ms of 2 s", used)
}

// Guards against long streams that are taken for a burst when they start, and for nothing
// before they end.
func TestStreamsCountWhileTheyRun(t *testing.T) {
	l := NewLedger()
	r := l.Arrive(Class{Pool: "p", Account: "a"}, 5_000, 1_000)
	r.Start(1_000)
	for _, at := range []clock.Millis{1_000, 3_000, 5_900} {
		assert.Equal(t, l.Usage(at)[0].Accounts[0].Used, 1_000)
	}
	r.End(6_000)
	ended := l.Usage(6_000)[0].Accounts[0]
	assert.Equal(t, ended.Used, 0)
	assert.Equal(t, len(ended.Classes), 0)
}

// Guards against calls without a ledger, which tests and the product's own mode make.
func TestNilLedger(t *testing.T) {
	var l *Ledger
	r := l.Arrive(Class{}, 1, 1)
	r.Start(2)
	r.End(3)
	assert.Assert(t, !l.Share(Class{}, 1, 1).Excess())
}

// Guards against reports that grow with the number of accounts.
func TestReportNamesTheLargestAccounts(t *testing.T) {
	l := NewLedger()
	for i := range 3 * maxNamedAccounts {
		for range 1 + i {
			l.Arrive(Class{Pool: "p", Account: fmt.Sprintf("account-%d", i)}, 10, 1_000)
		}
	}
	u := l.Usage(1_000)[0]
	assert.Equal(t, len(u.Accounts), maxNamedAccounts)
	assert.Equal(t, u.Accounts[0].Name, "account-95")
	assert.Equal(t, u.Rest.Classes[0].Waiting, 64*65/2, "the 64 smallest")
	total := Total([]PoolUsage{u}, []PoolUsage{u})[0]
	assert.Equal(t, len(total.Accounts), maxNamedAccounts)
	assert.Equal(t, total.Rest.Classes[0].Waiting, 64*65)
}

// Guards against an account below its share that is held back, and against shares where
// the capacity covers all demand.
func TestNoExcessBelowTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		l.SetHost(rapid.StringMatching("[a-z]{4}").Draw(t, "host"))
		daemons := rapid.IntRange(1, 400).Draw(t, "daemons")
		capacity := rapid.Float64Range(1, 200).Draw(t, "capacity")
		accounts := rapid.IntRange(1, 12).Draw(t, "accounts")
		now := clock.Millis(1_000)
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			account := fmt.Sprintf("a%d", rapid.IntRange(0, accounts-1).Draw(t, "account"))
			r := l.Arrive(Class{Pool: "p", Account: account}, clock.Millis(rapid.IntRange(1, 8_000).Draw(t, "work")), now)
			if rapid.Bool().Draw(t, "starts") {
				r.Start(now)
			}
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "pause"))
		}
		peers := []PoolUsage{{Pool: "p"}}
		for i := range accounts {
			u := AccountUsage{Name: fmt.Sprintf("a%d", i), Used: rapid.IntRange(0, 100_000).Draw(t, "used")}
			u.Arrived = u.Used + rapid.IntRange(0, 100_000).Draw(t, "arrived")
			peers[0].Accounts = append(peers[0].Accounts, u)
		}
		l.SetPeers(peers, daemons, now)
		equal := usable(capacity) * l.peers.covered(now) / float64(accounts)
		for i := range accounts {
			c := Class{Pool: "p", Account: fmt.Sprintf("a%d", i)}
			s := l.Share(c, capacity, now)
			usage := peers[0].Accounts[i]
			if daemons == 1 {
				usage = AccountUsage{}
			}
			if a := l.pools["p"].accounts[c.Account]; a != nil {
				usage = usage.Plus(a.usage(c.Account, now))
			}
			assert.Assert(t, s.Fair >= equal-1e-9, "account %d: fair %v, equal %v", i, s.Fair, equal)
			if usage.offered() <= equal && fromThousandths(usage.Used) <= equal {
				assert.Assert(t, !s.Excess(), "account %d: %+v", i, s)
			}
		}
	})
}

// Guards against a flood that daemons which start together take for little, since their
// rates have just begun, and against rates that are too high then.
func TestRateOfAYoungLedger(t *testing.T) {
	l := NewLedger()
	l.SetBeginning(1_000)
	for now := clock.Millis(1_010); now <= 2_000; now += 10 {
		l.Arrive(Class{Pool: "p", Account: "a"}, 5, now).Start(now)
	}
	u := l.Usage(2_000)[0].Accounts[0]
	for name, rate := range map[string]int{"used": u.Used, "arrived": u.Arrived, "recent": u.Recent} {
		assert.Check(t, rate > 490 && rate < 510, "%s: %d thousandths for 5 ms in 10 ms", name, rate)
	}
}
