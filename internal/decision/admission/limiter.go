package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// shareGuardPercent is the fill above which accounts are held to their shares.
const shareGuardPercent = 75

// Decision says why a request was not let in.
type Decision int

// The refusals.
const (
	Admitted Decision = iota
	OverShare
	LimitReached
)

// Limiter bounds the requests under way by client account. Below the guard any
// account may use what is free; above it, only up to its weighted share. It is
// safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	limit    int
	total    int
	accounts map[string]*usage
}

type usage struct {
	weight   int
	inFlight int
	lastUsed clock.Millis
}

// activeFor is how long an idle account keeps its share reserved.
const activeFor = 2_000 * clock.Millis(1)

// NewLimiter returns an empty gate.
func NewLimiter(limit int) *Limiter { return &Limiter{limit: limit, accounts: make(map[string]*usage)} }

// Acquire counts the request in, or says why not.
func (g *Limiter) Acquire(account string, weight int, now clock.Millis) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.accounts[account]
	if !ok {
		u = &usage{}
		g.accounts[account] = u
	}
	u.weight, u.lastUsed = weight, now
	if g.total >= g.limit {
		return LimitReached
	}
	if g.total*100 >= g.limit*shareGuardPercent && u.inFlight >= g.share(u, now) {
		return OverShare
	}
	u.inFlight++
	g.total++
	return Admitted
}

// Release counts the request out.
func (g *Limiter) Release(account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u, ok := g.accounts[account]; ok && u.inFlight > 0 {
		u.inFlight--
		g.total--
	}
}

func (g *Limiter) share(u *usage, now clock.Millis) int {
	weights := 0
	for name, other := range g.accounts {
		if other.inFlight == 0 && now-other.lastUsed > activeFor {
			delete(g.accounts, name)
			continue
		}
		weights += other.weight
	}
	if weights == 0 {
		return g.limit
	}
	return max(g.limit*u.weight/weights, 1)
}
