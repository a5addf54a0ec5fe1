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
	Classes               Classes
}

// ClassUsage counts the requests of one urgency.
type ClassUsage struct {
	Urgency          int
	Running, Waiting int // requests
	// RunningWork and WaitingWork are the expected server time of them in ms.
	RunningWork, WaitingWork int
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
	// Steady accounts rarely vary by more within recentWindow.
	floodFactor = 2.5
)

// hasRisen reports whether the account sends far more than it did.
func (u AccountUsage) hasRisen() bool { return float64(u.Recent) > floodFactor*float64(u.Arrived) }

// offered returns the work that the account sends, in ms of server time per ms.
func (u AccountUsage) offered() float64 {
	if u.hasRisen() {
		return fromThousandths(u.Recent)
	}
	return fromThousandths(u.Arrived)
}

// wanted returns the server time that the account would take if there were enough, in ms
// per ms: what it uses and what waits. A waiting request wants at most one slot. Work that
// has just begun to arrive may have been started by daemons that don't know of each other.
func (u AccountUsage) wanted() float64 {
	waiting := 0.0
	for _, c := range u.Classes {
		waiting += min(float64(c.WaitingWork)/float64(waitingWindow), float64(c.Waiting))
	}
	wanted := fromThousandths(u.Used) + waiting
	if u.hasRisen() {
		return max(wanted, u.offered())
	}
	return wanted
}

// running returns the number of running requests.
func (u AccountUsage) running() int {
	n := 0
	for _, c := range u.Classes {
		n += c.Running
	}
	return n
}

// Plus returns the sum of two usages with the name of the first.
func (u AccountUsage) Plus(o AccountUsage) AccountUsage {
	u.Classes = slices.Clone(u.Classes)
	u.accumulate(o, 1)
	return u
}

// accumulate adds the other usage times the sign. It changes the classes in place.
func (u *AccountUsage) accumulate(o AccountUsage, sign int) {
	u.Used += sign * o.Used
	u.Arrived += sign * o.Arrived
	u.Recent += sign * o.Recent
	for _, c := range o.Classes {
		i, ok := slices.BinarySearchFunc(u.Classes, c.Urgency, func(have ClassUsage, urgency int) int { return cmp.Compare(have.Urgency, urgency) })
		if !ok {
			u.Classes = slices.Insert(u.Classes, i, ClassUsage{Urgency: c.Urgency})
		}
		u.Classes[i].accumulate(c, sign)
		if u.Classes[i] == (ClassUsage{Urgency: c.Urgency}) {
			u.Classes = slices.Delete(u.Classes, i, i+1)
		}
	}
}

func (c *ClassUsage) accumulate(o ClassUsage, sign int) {
	c.Running += sign * o.Running
	c.Waiting += sign * o.Waiting
	c.RunningWork += sign * o.RunningWork
	c.WaitingWork += sign * o.WaitingWork
}

// bounded returns the usage with the largest accounts by name and the others in the rest.
func (u PoolUsage) bounded() PoolUsage {
	slices.SortFunc(u.Accounts, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.Arrived, a.Arrived), cmp.Compare(a.Name, b.Name))
	})
	if len(u.Accounts) <= maxNamedAccounts {
		return u
	}
	var rest AccountUsage
	for _, a := range u.Accounts[maxNamedAccounts:] {
		rest.accumulate(a, 1)
	}
	if u.Rest != nil {
		rest.accumulate(*u.Rest, 1)
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
