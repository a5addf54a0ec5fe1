package demand

import (
	"maps"
	"math"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Share compares what a client account uses of a pool with its fair share, both in ms of
// server time per ms.
type Share struct {
	// Used is what the account uses. If it wants more than its share, Used is derived from
	// what this daemon started of its own part of the share: all daemons would exceed
	// the share together if each acted on a total that is one report old.
	Used, Fair float64
	Competing  bool         // whether other accounts want what it uses beyond its share
	Age        clock.Millis // of the newest report of the other daemons
	Measured   float64      // what the account uses by the last reports of all daemons
}

// Excess reports whether the account uses more than its share while others compete.
func (s Share) Excess() bool { return s.Competing && s.Used > s.Fair }

const (
	// minUsable is the least part of a capacity that is divided: at most five in a hundred
	// may be idle while work waits.
	minUsable = 0.95
	// headroomFactor times the square root of a capacity is left undivided. Queues at the
	// servers would grow without bound at a utilisation of 1, and random arrivals vary with
	// the square root.
	headroomFactor = 0.09
	// overFactor is how much more than its share an account must send before it is paced:
	// steady accounts vary by that much, and a paced one waits at daemons that rarely start
	// a request of it.
	overFactor = 1.25
	// shareLifetime is how long a computed level is used. An account's rate changes little
	// in that time.
	shareLifetime = 20 * clock.Millis(1)
)

// usable returns the part of the capacity that is divided.
func usable(capacity float64) float64 {
	return max(capacity-headroomFactor*math.Sqrt(capacity), minUsable*capacity)
}

// shares is the division of a pool's capacity, as computed last.
type shares struct {
	valid     bool
	at        clock.Millis
	given     float64 // capacity of all daemons, as the caller states it
	capacity  float64 // divided among the accounts whose demand is known
	level     float64 // of accounts of weight 1; infinite if the capacity covers all demand
	wanted    float64 // by all accounts
	sharesOut bool    // whether the capacity doesn't cover all demand
}

func (s *shares) expire() { s.valid = false }

// isCurrent reports whether the level applies to the capacity.
func (s *shares) isCurrent(capacity float64, now clock.Millis) bool {
	return s.valid && now-s.at < shareLifetime && s.given == capacity
}

// Share returns what the class's account uses of a pool that has the capacity, in ms of
// server time per ms. Without a capacity there are no shares.
func (l *Ledger) Share(c Class, capacity float64, now clock.Millis) Share {
	if l == nil || capacity <= 0 {
		return Share{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(c.Pool, c.Account, capacity, now)
}

// share is Share with l.mu held.
func (l *Ledger) share(poolName, accountName string, capacity float64, now clock.Millis) Share {
	p := l.pool(poolName)
	others := l.peers.pool(poolName, now)
	if !p.shares.isCurrent(capacity, now) {
		l.divide(p, poolName, others, capacity, now)
	}
	usage, a := others.accounts[accountName], p.accounts[accountName]
	if a != nil {
		usage = usage.Plus(a.usage(accountName, now))
	}
	s := Share{Age: l.peers.age(now), Fair: p.shares.capacity, Measured: fromThousandths(usage.Used)}
	s.Used = s.Measured
	if !p.shares.sharesOut {
		return s
	}
	s.Fair = l.weight(accountName) * p.shares.level
	s.Competing = p.shares.wanted-usage.wanted() > smallestDemand
	if a != nil && a.pace.bound {
		s.Competing = true // wanted is as old as the level, the usage is not
		s.Used = a.pace.used(s.Fair, now)
		if s.Measured > maxCatchUp*s.Fair {
			s.Used = max(s.Used, s.Measured)
		}
	}
	return s
}

// restWeight is the weight of the accounts that reports don't name: there may be many, and
// each is smaller than the named ones.
const restWeight = maxNamedAccounts

// smallestDemand is the demand below which an account wants nothing, in ms per ms. Decayed
// rates and rounded reports don't reach zero.
const smallestDemand = 1.0 / thousandths

// weight returns the weight of the account's share.
func (l *Ledger) weight(account string) float64 {
	if w, ok := l.weights[account]; ok && w > 0 {
		return w
	}
	return 1
}

// divide computes the fair level of the pool and paces the accounts that send more than
// their share. l.mu must be held.
func (l *Ledger) divide(p *pool, name string, others peerPool, capacity float64, now clock.Millis) {
	if l.hosts != nil {
		l.peers.daemons = l.hosts()
	}
	s := shares{valid: true, at: now, given: capacity, capacity: usable(capacity) * l.peers.covered(now)}
	usages := maps.Clone(others.accounts)
	if usages == nil {
		usages = make(map[string]AccountUsage, len(p.accounts))
	}
	for account, a := range p.accounts {
		usages[account] = usages[account].Plus(a.usage(account, now))
	}
	claims := make([]claim, 0, len(usages)+1)
	used, running := 0.0, 0
	for account, u := range usages {
		claims = append(claims, claim{demand: u.wanted(), weight: l.weight(account)})
		used += fromThousandths(u.Used)
		running += u.running()
	}
	if rest := others.rest; rest != nil {
		claims = append(claims, claim{demand: rest.wanted(), weight: restWeight})
		used += fromThousandths(rest.Used)
		running += rest.running()
	}
	for _, c := range claims {
		s.wanted += c.demand
	}
	s.level = fairLevel(claims, s.capacity)
	s.sharesOut = !math.IsInf(s.level, 1)
	factor := catchUp(claims, s.level, s.capacity-used) * relief(running, s.capacity)
	p.shares = s
	for account, a := range p.accounts {
		u, fair := usages[account], l.weight(account)*s.level
		if !s.sharesOut || u.offered() <= overFactor*fair || s.wanted-u.wanted() <= smallestDemand {
			a.pace.release()
			continue
		}
		part := a.usage(account, now).wanted() / u.wanted()
		a.pace.bind(fair, part, factor, l.debt(a, part*(fromThousandths(u.Used)-fair), l.phase(name, account), now), now)
	}
}

// debt returns the work that an account owes when it is found to send more than its share:
// what this daemon started beyond its part lately, at the given rate, and a part of one
// request, which differs between daemons. All learn of the excess at almost the same time
// and would start a request each.
func (l *Ledger) debt(a *account, excess, phase float64, now clock.Millis) float64 {
	return max(excess, 0)*float64(min(now-l.since, window)) + phase*float64(a.lastWork)
}
