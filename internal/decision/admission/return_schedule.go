package admission

import (
	"slices"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// returnShare is the share of the time that it has left for which a caller heeds a
	// stated retry time.
	returnShare = 1.0 / 3
	// minReturn and maxReturn bound a stated retry time: free capacity is never certain, and
	// a pool may recover in the meantime.
	minReturn = 100 * clock.Millis(1)
	maxReturn = 30_000 * clock.Millis(1)
	// unknownInterval is the time between two turns while the rate of starts is unknown.
	unknownInterval = 200 * clock.Millis(1)
	// maxReturns bounds the remembered returns of a pool.
	maxReturns = 1024
)

// ReturnSchedule spreads the callers that are told to return to one pool. It is safe for
// concurrent use.
//
// Load pattern: many callers are rejected within some seconds, and each makes one retry. A
// retry that comes before there is a place is rejected for good.
type ReturnSchedule struct {
	mu      sync.Mutex
	returns []scheduledReturn // in order of time
}

// scheduledReturn is a caller that was told to return.
type scheduledReturn struct {
	at   clock.Millis
	rank Rank // only Excess and Urgency
}

// Return is a rejected request whose caller is to be told when to return.
type Return struct {
	Rank            Rank    // only Excess and Urgency count
	Ahead           int     // waiting requests that are served before it
	StartsPerSecond float64 // of this daemon; 0 if unknown
	Forecast        Forecast
}

// Schedule returns the time after which the caller should return. Callers get turns at the
// rate of the daemon's starts, after the waiting requests and after the turns of those that
// rank before or like them; later turns of lower rank give way. A caller that returns early
// gains nothing, since its turn is only advice and its rank decides.
func (s *ReturnSchedule) Schedule(r Return) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.Forecast.Now
	s.returns = slices.DeleteFunc(s.returns, func(o scheduledReturn) bool { return o.at <= now })
	interval := unknownInterval
	if r.StartsPerSecond > 0 {
		interval = clock.Millis(min(1000/r.StartsPerSecond, float64(maxReturn)))
	}
	wait := interval * clock.Millis(r.Ahead+1)
	for _, other := range s.returns {
		if compareReturns(other.rank, r.Rank) <= 0 && other.at-now < wait+interval {
			wait += interval
		}
	}
	wait = min(max(wait, minReturn), maxReturn)
	left := clock.Millis(returnShare * float64(r.Forecast.Deadline-now))
	if left = max(left, minReturn); wait > left {
		wait = left
		if !r.Forecast.IsServedAfter(left) {
			// It is late already: another daemon may have a place for it now.
			wait = minReturn
		}
	}
	s.remember(scheduledReturn{now + wait, r.Rank})
	return wait
}

// remember adds the return in order of time. The last ones are forgotten first.
func (s *ReturnSchedule) remember(n scheduledReturn) {
	i, _ := slices.BinarySearchFunc(s.returns, n.at, func(o scheduledReturn, at clock.Millis) int { return int(o.at - at) })
	s.returns = slices.Insert(s.returns, i, n)
	s.returns = s.returns[:min(len(s.returns), maxReturns)]
}

// compareReturns compares ranks by what doesn't change until a caller returns.
func compareReturns(a, b Rank) int {
	return Order(Rank{Excess: a.Excess, Urgency: a.Urgency}, Rank{Excess: b.Excess, Urgency: b.Urgency})
}
