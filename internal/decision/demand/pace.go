package demand

import (
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// pace spreads over time what this daemon starts for an account that wants more than its
// share. The daemon's part of the share is its part of the account's demand, and adds up
// as credit which started work spends. This needs no answer from the other daemons, so
// the sum of all daemons stays at the share however old their reports are.
type pace struct {
	bound  bool    // whether the account wants more than its share
	credit float64 // ms of server time; negative after a start until it has been earned
	perMs  float64 // by which the credit grows
	part   float64 // of the account's demand that is at this daemon
	at     clock.Millis
}

const (
	// maxSaved and maxOwed bound the credit to that many ms of the daemon's part of the
	// share, or to one request if that is more. The saved part is what a frozen or idle
	// daemon may start at once; it is one report period, for which peers can't know of it.
	maxSaved = 400.0
	maxOwed  = float64(window)
	// minPart is the least part of the demand for which a daemon is assumed to stand.
	minPart = 1e-6
	// The rate of a paced account is adjusted by what the pool's total use lacks or exceeds,
	// within these factors. Stronger adjustments oscillate with reports 0.8 s old.
	minCatchUp = 0.5
	maxCatchUp = 1.2
)

// bind sets the account's share and this daemon's part of it. A newly bound account begins
// with the debt.
func (p *pace) bind(fair, part, catchUp, debt float64, now clock.Millis) {
	p.part = max(part, minPart)
	if p.bound {
		p.advance(now)
	} else {
		p.bound, p.credit = true, -debt
	}
	p.perMs, p.at = fair*p.part*catchUp, now
}

// release ends the pacing.
func (p *pace) release() { p.bound = false }

// advance adds the credit earned until now.
func (p *pace) advance(now clock.Millis) {
	p.credit = min(p.credit+p.perMs*float64(max(now-p.at, 0)), p.perMs*maxSaved)
	p.at = max(now, p.at)
}

// spend takes started work from the credit; negative work is given back.
func (p *pace) spend(work float64, now clock.Millis) {
	if !p.bound {
		return
	}
	p.advance(now)
	p.credit -= work
	if work > 0 {
		p.credit = max(p.credit, -max(p.perMs*maxOwed, work))
	}
}

// used returns the use of all daemons if each has the credit of this one in proportion to
// its part; above the fair share if and only if the credit is used up.
func (p *pace) used(fair float64, now clock.Millis) float64 {
	p.advance(now)
	return max(fair-p.credit/(p.part*float64(window)), 0)
}

// catchUp returns the factor of the rate of accounts that want more than the level.
// unused is what all accounts leave of the capacity; negative if they use more.
func catchUp(claims []claim, level, unused float64) float64 {
	paced := 0.0
	for _, c := range claims {
		if c.demand > c.weight*level {
			paced += c.weight * level
		}
	}
	if paced == 0 {
		return 1
	}
	return min(max(1+unused/paced, minCatchUp), maxCatchUp)
}

// allowedQueue is the number of requests in flight per slot up to which servers are
// thought to have no queue that matters: reports are late, and slots differ in speed.
const allowedQueue = 1.5

// relief returns the factor by which paced accounts start less while servers queue, so
// that the others don't wait behind what was started before the excess was known.
func relief(running int, capacity float64) float64 {
	return min(max(1+allowedQueue-float64(running)/capacity, 0), 1)
}

// phase returns a number from 0 to 1 that differs between daemons.
func (l *Ledger) phase(pool, account string) float64 {
	return container.UnitHash(l.salt, pool, account)
}
