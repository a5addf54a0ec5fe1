package demand

import (
	"cmp"
	"slices"
)

// Count is the number of requests of this daemon for a pool, of all accounts that are within
// or over their shares.
type Count struct {
	Pool             string
	Over             bool
	Urgency          int
	Running, Waiting int
}

// Counts returns the requests of this daemon by pool, urgency, and whether their accounts
// are over their share.
func (l *Ledger) Counts() []Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	type key struct {
		pool    string
		over    bool
		urgency int
	}
	sums := make(map[key]Count)
	for name, p := range l.pools {
		for _, a := range p.accounts {
			for urgency, c := range a.classes {
				k := key{name, a.pace.bound, urgency}
				sum := sums[k]
				sums[k] = Count{name, k.over, urgency, sum.Running + c.Running, sum.Waiting + c.Waiting}
			}
		}
	}
	counts := make([]Count, 0, len(sums))
	for _, c := range sums {
		counts = append(counts, c)
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Urgency, b.Urgency)) })
	return counts
}
