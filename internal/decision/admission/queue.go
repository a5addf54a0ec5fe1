package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// averageWeight is the weight of the newest service time in the moving average.
const averageWeight = 0.1

// Queue orders the requests that wait for a backend server of one pool: by
// priority, then by the account that has had the least for its weight, then by
// arrival. It is safe for concurrent use.
type Queue struct {
	mu          sync.Mutex
	waiters     []*Waiter
	arrivals    uint64
	served      map[string]float64 // requests for their weight, by account
	serviceTime float64            // moving average, ms
}

// Waiter is one waiting request. Wake is sent to when it is its turn to try.
type Waiter struct {
	Wake     chan struct{}
	account  string
	weight   int
	priority int
	arrival  uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{served: make(map[string]float64)} }

// Enqueue adds a waiter.
func (q *Queue) Enqueue(account string, weight, priority int) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	q.catchUp(account)
	w := &Waiter{Wake: make(chan struct{}, 1), account: account, weight: max(weight, 1), priority: priority, arrival: q.arrivals}
	q.waiters = append(q.waiters, w)
	return w
}

// catchUp keeps an account that was idle from being owed all that the others
// had meanwhile.
func (q *Queue) catchUp(account string) {
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

// Remove removes the waiter, whether it was served or gave up.
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

// WakeNext lets the first waiter in order try.
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

func (q *Queue) before(a, b *Waiter) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if q.served[a.account] != q.served[b.account] {
		return q.served[a.account] < q.served[b.account]
	}
	return a.arrival < b.arrival
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// RecordServiceTime takes in how long a request held its server.
func (q *Queue) RecordServiceTime(took clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.serviceTime == 0 {
		q.serviceTime = float64(took)
		return
	}
	q.serviceTime += averageWeight * (float64(took) - q.serviceTime)
}

// ExpectedWait estimates how long a new waiter of the account waits, given the
// requests that this daemon can have under way in the pool. An account under
// its share isn't held up by the waiters of one that is over it.
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
	byShare := float64(own+1) * float64(total) / float64(weights[account])
	turn := float64(higher) + min(float64(equal+1), byShare)
	return clock.Millis(turn / float64(max(capacity, 1)) * q.serviceTime)
}
