package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// shareGuardPercent is the fill above which accounts are held to their shares.
const shareGuardPercent = 75

// Refusal says why a request was not let in.
type Refusal int

// The refusals.
const (
	Admitted Refusal = iota
	OverShare
	Full
)

// Gate bounds the requests under way by client account. Below the guard any
// account may use what is free; above it, only up to its weighted share. It is
// safe for concurrent use.
type Gate struct {
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

// NewGate returns an empty gate.
func NewGate(limit int) *Gate { return &Gate{limit: limit, accounts: make(map[string]*usage)} }

// Enter counts the request in, or says why not.
func (g *Gate) Enter(account string, weight int, now clock.Millis) Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.accounts[account]
	if !ok {
		u = &usage{}
		g.accounts[account] = u
	}
	u.weight, u.lastUsed = weight, now
	if g.total >= g.limit {
		return Full
	}
	if g.total*100 >= g.limit*shareGuardPercent && u.inFlight >= g.share(u, now) {
		return OverShare
	}
	u.inFlight++
	g.total++
	return Admitted
}

// Leave counts the request out.
func (g *Gate) Leave(account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u, ok := g.accounts[account]; ok && u.inFlight > 0 {
		u.inFlight--
		g.total--
	}
}

func (g *Gate) share(u *usage, now clock.Millis) int {
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
