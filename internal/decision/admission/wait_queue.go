package admission

import (
	"slices"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Spec is what a waiting request asks of its pool.
type Spec struct {
	Account  string
	Urgency  int          // 0 is the most urgent
	Deadline clock.Millis // for the complete response
	Prefill  clock.Millis // expected prefill time of its prompt
	// StartBy is the time until which a start is expected to give a response in time; 0 if
	// unknown.
	StartBy clock.Millis
}

// Usage is what an account uses of a pool.
type Usage struct {
	Ratio  float64 // to its fair share; 0 without competition
	Excess bool    // more than its share while others compete
}

// Conditions are the circumstances under which waiting requests are ordered.
type Conditions struct {
	Now         clock.Millis
	Usage       func(account string) Usage
	FreePrefill clock.Millis // see loadbalance.Room
	// ReliefPeriod is how long the waiting requests of an account may get nothing; see
	// ReliefPeriod.
	ReliefPeriod clock.Millis
}

// Waiting is a request in a WaitQueue.
type Waiting[T any] struct {
	Value T
	Spec  Spec
	Since clock.Millis // when it began to wait

	arrival uint64
	passed  int // how often shorter prompts went ahead of it
}

// WaitQueue holds the requests that wait in a daemon for a server of one pool. It is safe
// for concurrent use.
//
// Load pattern: more requests arrive for some seconds than the pool can serve. What waits
// here rather than at a server can be overtaken by more urgent requests, can go to any server,
// and can still be rejected as not run.
type WaitQueue[T any] struct {
	mu       sync.Mutex
	limit    int
	waiting  []*Waiting[T]
	arrivals uint64
	servedAt map[string]clock.Millis // when an account with waiting requests last got a place
	starts   startCounter
}

// NewWaitQueue returns an empty queue for at most limit requests.
func NewWaitQueue[T any](limit int) *WaitQueue[T] {
	return &WaitQueue[T]{limit: limit, servedAt: make(map[string]clock.Millis)}
}

const (
	// maxPassed is how often shorter prompts may go ahead of a long one.
	maxPassed = 3
	// longPromptShare is the share of the free prefill above which a prompt is long.
	longPromptShare = 0.5
)

// Add adds a request. If the queue is full, it returns the request that must leave it, which
// has been removed: the last in order, which may be the new one.
func (q *WaitQueue[T]) Add(value T, w Spec, c Conditions) (added, evicted *Waiting[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	added = &Waiting[T]{Value: value, Spec: w, Since: c.Now, arrival: q.arrivals}
	q.waiting = append(q.waiting, added)
	if len(q.waiting) > q.limit {
		ordered := q.ordered(c)
		evicted = ordered[len(ordered)-1]
		q.remove(evicted)
	}
	return added, evicted
}

// Leave removes a request that gets no place. It may be called repeatedly.
func (q *WaitQueue[T]) Leave(w *Waiting[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
}

// Admit removes a request that has got a place.
func (q *WaitQueue[T]) Admit(w *Waiting[T], c Conditions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Contains(q.waiting, w) {
		return
	}
	o := q.orderUnder(c)
	admitted := o.rank(w)
	for _, other := range q.waiting {
		rank := o.rank(other)
		if other == w || !rank.Yields || rank.Excess != admitted.Excess || rank.Urgency != admitted.Urgency {
			continue
		}
		if rank.Yields = admitted.Yields; Order(rank, admitted) < 0 {
			other.passed++
		}
	}
	q.servedAt[w.Spec.Account] = c.Now
	q.remove(w)
}

// remove removes the request. The caller must hold mu.
func (q *WaitQueue[T]) remove(w *Waiting[T]) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	if len(q.waiting) == 0 {
		clear(q.servedAt)
	}
}

// Next returns the first request in order that skip doesn't exclude; nil if there is none.
func (q *WaitQueue[T]) Next(c Conditions, skip func(*Waiting[T]) bool) *Waiting[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	o := q.orderUnder(c)
	var first *Waiting[T]
	var lowest Rank
	for _, w := range q.waiting {
		if skip != nil && skip(w) {
			continue
		}
		if rank := o.rank(w); first == nil || Order(rank, lowest) < 0 {
			first, lowest = w, rank
		}
	}
	return first
}

// Ahead returns the number of waiting requests that are served before a new one.
func (q *WaitQueue[T]) Ahead(w Spec, c Conditions) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return 0
	}
	o := q.orderUnder(c)
	rank := o.rank(&Waiting[T]{Spec: w, Since: c.Now, arrival: q.arrivals + 1})
	ahead := 0
	for _, other := range q.waiting {
		if Order(o.rank(other), rank) < 0 {
			ahead++
		}
	}
	return ahead
}

// Ordered returns the waiting requests in the order in which they are served.
func (q *WaitQueue[T]) Ordered(c Conditions) []*Waiting[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ordered(c)
}

func (q *WaitQueue[T]) ordered(c Conditions) []*Waiting[T] {
	o := q.orderUnder(c)
	ranks := make(map[*Waiting[T]]Rank, len(q.waiting))
	for _, w := range q.waiting {
		ranks[w] = o.rank(w)
	}
	ordered := slices.Clone(q.waiting)
	slices.SortFunc(ordered, func(a, b *Waiting[T]) int { return Order(ranks[a], ranks[b]) })
	return ordered
}

// All returns the waiting requests by arrival. It is cheaper than Ordered.
func (q *WaitQueue[T]) All() []*Waiting[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.waiting)
}

// Len returns the number of waiting requests.
func (q *WaitQueue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// RecordStart records that a request of this daemon has got a place, whether or not it waited.
func (q *WaitQueue[T]) RecordStart(now clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.starts.record(now)
}

// StartsPerSecond returns how many requests of this daemon got a place per second lately.
func (q *WaitQueue[T]) StartsPerSecond(now clock.Millis) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.starts.perSecond(now)
}
