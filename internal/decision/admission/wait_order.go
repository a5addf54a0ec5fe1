package admission

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

const (
	// minReliefPeriod is how long the waiting requests of an account may get nothing.
	minReliefPeriod = 1_000 * clock.Millis(1)
	// reliefShare is the share of a pool's starts that may go to such requests: each daemon
	// applies the rule by itself, and an account may wait at all of them.
	reliefShare = 0.05
)

// ReliefPeriod returns how long the waiting requests of an account may get nothing at one of
// the daemons until one of them is served ahead of the others. startsPerSecond is that of the
// pool, from all daemons; 0 if unknown.
func ReliefPeriod(daemons int, startsPerSecond float64) clock.Millis {
	if daemons <= 1 || startsPerSecond <= 0 {
		return minReliefPeriod
	}
	return max(minReliefPeriod, clock.Millis(1000*float64(daemons)/(reliefShare*startsPerSecond)))
}

// waitOrder ranks the requests of a queue under some conditions.
type waitOrder[T any] struct {
	conditions Conditions
	usages     map[string]Usage
	relieved   map[string]*Waiting[T] // by account: the request that its starvation puts first
}

// orderUnder returns the order of the waiting requests. The caller must hold mu until it is
// no longer used.
func (q *WaitQueue[T]) orderUnder(c Conditions) *waitOrder[T] {
	o := &waitOrder[T]{conditions: c, usages: make(map[string]Usage), relieved: make(map[string]*Waiting[T])}
	oldest := make(map[string]clock.Millis)
	best := make(map[string]*Waiting[T])
	for _, w := range q.waiting {
		account := w.Spec.Account
		if since, ok := oldest[account]; !ok || w.Since < since {
			oldest[account] = w.Since
		}
		if best[account] == nil || Order(o.rank(w), o.rank(best[account])) < 0 {
			best[account] = w
		}
	}
	for account, w := range best {
		if c.Now-max(oldest[account], q.servedAt[account]) >= c.ReliefPeriod {
			o.relieved[account] = w
		}
	}
	return o
}

// rank returns the rank of the request. The request of an account that has got nothing for a
// while counts as the most urgent within its share: otherwise an account whose requests are
// all less urgent, or whose share is overstated, would get nothing at all.
func (o *waitOrder[T]) rank(w *Waiting[T]) Rank {
	usage, ok := o.usages[w.Spec.Account]
	if !ok {
		if o.conditions.Usage != nil {
			usage = o.conditions.Usage(w.Spec.Account)
		}
		o.usages[w.Spec.Account] = usage
	}
	rank := Rank{
		Excess: usage.Excess, Doubtful: w.Spec.StartBy > 0 && o.conditions.Now > w.Spec.StartBy, Urgency: w.Spec.Urgency, Usage: usage.Ratio, Deadline: w.Spec.Deadline, Arrival: w.arrival,
		Yields: w.passed < maxPassed && float64(w.Spec.Prefill) > longPromptShare*float64(o.conditions.FreePrefill),
	}
	if o.relieved[w.Spec.Account] == w {
		rank.Excess, rank.Doubtful, rank.Urgency, rank.Yields = false, false, 0, false
	}
	return rank
}
