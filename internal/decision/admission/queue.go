package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// serviceTimeSmoothing is the weight of the newest sample in the moving average.
const serviceTimeSmoothing = 0.1

// Queue holds the requests that wait for a backend server of one pool. They are
// served by priority, lowest number first, then by weighted fairness among client
// accounts, then by arrival. Safe for concurrent use.
type Queue struct {
	mu          sync.Mutex
	waiters     []*Waiter
	arrivals    uint64
	served      map[string]float64 // requests divided by weight, by account
	serviceTime float64            // moving average in ms
}

// Waiter is a waiting request. Wake receives a value when the request may try to
// get a server; the waiter stays in the queue until Remove.
type Waiter struct {
	Wake     chan struct{}
	account  string
	weight   int
	priority int
	arrival  uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{served: make(map[string]float64)} }

// Enqueue adds a waiting request. The caller must call Remove for it.
func (q *Queue) Enqueue(account string, weight, priority int) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	q.raiseServed(account)
	w := &Waiter{Wake: make(chan struct{}, 1), account: account, weight: max(weight, 1), priority: priority, arrival: q.arrivals}
	q.waiters = append(q.waiters, w)
	return w
}

// raiseServed raises the account's entry in served to the lowest of all waiting
// accounts. Otherwise an account that was idle would be served alone until it had
// caught up with them. The caller must hold mu.
func (q *Queue) raiseServed(account string) {
	least, found := 0.0, false
	for _, w := range q.waiters {
		if s := q.served[w.account]; !found || s < least {
			least, found = s, true
		}
	}
	if found {
		q.served[account] = max(q.served[account], least)
	}
}

// Remove removes the waiter. Only served requests count against the account.
func (q *Queue) Remove(w *Waiter, served bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			break
		}
	}
	if served {
		q.served[w.account] += 1 / float64(w.weight)
	}
	if len(q.waiters) == 0 {
		clear(q.served)
	}
}

// WakeNext wakes the first waiter in order. It does not block.
func (q *Queue) WakeNext() {
	q.mu.Lock()
	defer q.mu.Unlock()
	var best *Waiter
	for _, w := range q.waiters {
		if best == nil || q.before(w, best) {
			best = w
		}
	}
	if best == nil {
		return
	}
	select {
	case best.Wake <- struct{}{}:
	default:
	}
}

func (q *Queue) before(a, b *Waiter) bool { return Order(q.rank(a), q.rank(b)) < 0 }

func (q *Queue) rank(w *Waiter) Rank {
	return Rank{Urgency: w.priority, Usage: q.served[w.account], Arrival: w.arrival}
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// RecordServiceTime records how long a request occupied its server.
func (q *Queue) RecordServiceTime(elapsed clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.serviceTime == 0 {
		q.serviceTime = float64(elapsed)
		return
	}
	q.serviceTime += serviceTimeSmoothing * (float64(elapsed) - q.serviceTime)
}

// ExpectedWait estimates how long a new request of the account would wait;
// capacity is the number of in-flight requests that this daemon may have in the
// pool. Waiters of accounts over their share do not delay an account under its share.
func (q *Queue) ExpectedWait(account string, weight, priority, capacity int) clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	higher, equal, own := 0, 0, 0
	weights := map[string]int{account: max(weight, 1)}
	for _, w := range q.waiters {
		switch {
		case w.priority < priority:
			higher++
		case w.priority == priority:
			equal++
			weights[w.account] = w.weight
		}
		if w.account == account && w.priority == priority {
			own++
		}
	}
	total := 0
	for _, w := range weights {
		total += w
	}
	fairPosition := float64(own+1) * float64(total) / float64(weights[account])
	position := float64(higher) + min(float64(equal+1), fairPosition)
	return clock.Millis(position / float64(max(capacity, 1)) * q.serviceTime)
}
