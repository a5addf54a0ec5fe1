package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// fairShareThresholdPercent is the utilisation from which accounts are limited to
// their shares.
const fairShareThresholdPercent = 75

// Decision is the result of Limiter.Acquire.
type Decision int

// The possible decisions; all but Admitted reject the request.
const (
	Admitted     Decision = iota
	OverShare             // the account uses its whole share
	LimitReached          // no account may start a request
)

// Limiter limits in-flight requests, fairly among client accounts. At low
// utilisation an account may use all free capacity, else only its weighted
// share. Safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	limit    int
	total    int
	accounts map[string]*usage
}

// usage is the load of one account.
type usage struct {
	weight   int
	inFlight int
	lastUsed clock.Millis
}

// idleReservation is how long the share of an idle account stays reserved.
const idleReservation = 2_000 * clock.Millis(1)

// NewLimiter returns a limiter for up to limit in-flight requests.
func NewLimiter(limit int) *Limiter { return &Limiter{limit: limit, accounts: make(map[string]*usage)} }

// Acquire admits or rejects a request of the account. Each admitted request must
// be ended with Release.
func (l *Limiter) Acquire(account string, weight int, now clock.Millis) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.accounts[account]
	if !ok {
		u = &usage{}
		l.accounts[account] = u
	}
	u.weight, u.lastUsed = weight, now
	if l.total >= l.limit {
		return LimitReached
	}
	if l.total*100 >= l.limit*fairShareThresholdPercent && u.inFlight >= l.share(u, now) {
		return OverShare
	}
	u.inFlight++
	l.total++
	return Admitted
}

// Release ends an admitted request of the account.
func (l *Limiter) Release(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.accounts[account]; ok && u.inFlight > 0 {
		u.inFlight--
		l.total--
	}
}

// share returns the number of in-flight requests that the account is entitled to.
// It also drops accounts whose reservation has expired. The caller must hold mu.
func (l *Limiter) share(u *usage, now clock.Millis) int {
	weights := 0
	for name, other := range l.accounts {
		if other.inFlight == 0 && now-other.lastUsed > idleReservation {
			delete(l.accounts, name)
			continue
		}
		weights += other.weight
	}
	if weights == 0 {
		return l.limit
	}
	return max(l.limit*u.weight/weights, 1)
}
