package demand

import (
	"cmp"
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// maxNamedAccounts bounds the accounts of a pool that a report names: the largest ones.
const maxNamedAccounts = 32

// PoolUsage is the demand for one pool.
type PoolUsage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: demand is much of a report.

	Pool     string
	Accounts []AccountUsage
	// Rest is the sum of the accounts that aren't named.
	Rest *AccountUsage
}

// AccountUsage is the demand of one client account for a pool.
type AccountUsage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Name string
	// Used is the server time of the work that was started, Arrived that of the work that
	// came, and Recent the same over a shorter time, all in thousandths of a slot.
	Used, Arrived, Recent int
	Accounts              int // of which this is the sum
	Classes               []ClassUsage
}

// ClassUsage counts the requests of one urgency.
type ClassUsage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Urgency                  int
	Running, Waiting         int          // requests
	RunningWork, WaitingWork clock.Millis // expected server time of them
}

// thousandths is the number of units of AccountUsage.Used in one ms per ms.
const thousandths = 1_000

func toThousandths(perMs float64) int { return int(math.Round(perMs * thousandths)) }

func fromThousandths(n int) float64 { return float64(n) / thousandths }

func (u AccountUsage) isEmpty() bool {
	return u.Used == 0 && u.Arrived == 0 && u.Recent == 0 && len(u.Classes) == 0
}

const (
	// waitingWindow is the time in which waiting work is wanted, which is one report period.
	waitingWindow = 400 * clock.Millis(1)
	// floodFactor is how much more than usual an account must send to count as having risen.
	// Accounts with 12 requests/s vary by less within recentWindow.
	floodFactor = 2
)

// offered returns the work that the account sends, in ms of server time per ms.
func (u AccountUsage) offered() float64 {
	if u.Recent > floodFactor*u.Arrived {
		return fromThousandths(u.Recent)
	}
	return fromThousandths(u.Arrived)
}

// wanted returns the server time that the account would take if there were enough, in ms
// per ms. A waiting request wants at most one slot.
func (u AccountUsage) wanted() float64 {
	waiting := 0.0
	for _, c := range u.Classes {
		waiting += min(float64(c.WaitingWork)/float64(waitingWindow), float64(c.Waiting))
	}
	return max(u.offered(), fromThousandths(u.Used)+waiting)
}

// Plus returns the sum of two usages with the name of the first.
func (u AccountUsage) Plus(o AccountUsage) AccountUsage {
	u.Used += o.Used
	u.Arrived += o.Arrived
	u.Recent += o.Recent
	u.Accounts = max(u.Accounts, o.Accounts)
	classes := slices.Clone(u.Classes)
	for _, c := range o.Classes {
		i := slices.IndexFunc(classes, func(have ClassUsage) bool { return have.Urgency == c.Urgency })
		if i < 0 {
			classes = append(classes, c)
			continue
		}
		classes[i].Running += c.Running
		classes[i].Waiting += c.Waiting
		classes[i].RunningWork += c.RunningWork
		classes[i].WaitingWork += c.WaitingWork
	}
	sortClasses(classes)
	u.Classes = classes
	return u
}

// Total adds up the usages of several daemons by pool, account and urgency.
func Total(usages ...[]PoolUsage) []PoolUsage {
	pools := make(map[string]map[string]AccountUsage)
	rests := make(map[string]AccountUsage)
	for _, usage := range usages {
		for _, p := range usage {
			if pools[p.Pool] == nil {
				pools[p.Pool] = make(map[string]AccountUsage, len(p.Accounts))
			}
			for _, a := range p.Accounts {
				sum, ok := pools[p.Pool][a.Name]
				if !ok {
					sum = AccountUsage{Name: a.Name}
				}
				pools[p.Pool][a.Name] = sum.Plus(a)
			}
			if p.Rest != nil {
				rests[p.Pool] = rests[p.Pool].Plus(*p.Rest)
			}
		}
	}
	total := make([]PoolUsage, 0, len(pools))
	for name, accounts := range pools {
		u := PoolUsage{Pool: name}
		for _, a := range accounts {
			u.Accounts = append(u.Accounts, a)
		}
		if rest, ok := rests[name]; ok {
			u.Rest = &rest
		}
		total = append(total, u.bounded())
	}
	return sortPools(total)
}

// bounded returns the usage with the largest accounts by name and the others in the rest.
func (u PoolUsage) bounded() PoolUsage {
	slices.SortFunc(u.Accounts, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.Arrived, a.Arrived), cmp.Compare(a.Name, b.Name))
	})
	if len(u.Accounts) <= maxNamedAccounts {
		return u
	}
	rest := AccountUsage{}
	for _, a := range u.Accounts[maxNamedAccounts:] {
		rest = rest.Plus(a)
	}
	rest.Accounts = len(u.Accounts) - maxNamedAccounts
	if u.Rest != nil {
		rest = rest.Plus(*u.Rest)
	}
	u.Accounts, u.Rest = u.Accounts[:maxNamedAccounts], &rest
	return u
}

func sortClasses(classes []ClassUsage) {
	slices.SortFunc(classes, func(a, b ClassUsage) int { return cmp.Compare(a.Urgency, b.Urgency) })
}

func sortPools(pools []PoolUsage) []PoolUsage {
	slices.SortFunc(pools, func(a, b PoolUsage) int { return cmp.Compare(a.Pool, b.Pool) })
	return pools
}
