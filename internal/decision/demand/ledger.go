// Package demand tracks what the daemons have running and waiting for each pool, by
// client account and urgency, and derives the accounts' fair shares from it.
//
// Load pattern: one client account sends many times its usual traffic, spread over all
// daemons or concentrated on two, and what a daemon knows of the others is up to 0.8 s old.
package demand

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Class identifies requests that are treated alike.
type Class struct {
	Pool    string
	Account string
	Urgency int // 0 is the most urgent
}

// Ledger holds the demand of this daemon and the totals of its peers. It is safe for
// concurrent use.
type Ledger struct {
	mu      sync.Mutex
	pools   map[string]*pool
	peers   peers
	weights map[string]float64 // by account; 1 if absent
	salt    string
	since   clock.Millis // when the records began
	hosts   func() int   // number of all daemons; nil if only SetPeers states it
}

// pool is the state of one pool.
type pool struct {
	accounts map[string]*account
	shares   shares
}

// account is the demand of this daemon for one pool and client account.
type account struct {
	since   clock.Millis        // when the ledger's records began
	classes map[int]*ClassUsage // by urgency
	started rate                // of requests shorter than window
	arrived rate                // of all requests
	recent  rate                // the same, over recentWindow
	// The use of requests of window and longer is their number, which changes slowly.
	longRunning int
	lastWork    clock.Millis // of the last arrival
	pace        pace
	status      status
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{pools: make(map[string]*pool)} }

// SetHost sets the name of this daemon's host, by which the starts of different daemons
// are spread over time.
func (l *Ledger) SetHost(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.salt = name
}

// SetBeginning sets when the records began, which must not depend on a request: rates would
// be too high after it. Until then they count as complete.
func (l *Ledger) SetBeginning(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = now
}

// SetHostCount sets the function that returns the number of hosts with a daemon, including
// this one. It is called at each division, so that a daemon knows its part of the capacity
// before its first report. It must not call the ledger.
func (l *Ledger) SetHostCount(hosts func() int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// SetWeights sets the weights of the accounts' shares. Accounts without one have weight 1.
func (l *Ledger) SetWeights(weights map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights = weights
}

// SetPeers replaces the totals of all other daemons. A nil total means that there is none,
// and keeps the last one until it expires.
func (l *Ledger) SetPeers(total []PoolUsage, daemons int, now clock.Millis) {
	reporting := 0
	if total != nil {
		reporting = daemons - 1
	}
	l.SetPeerTotal(PeerTotal{Usage: total, Reporting: reporting}, daemons, now)
}

// SetPeerTotal replaces the totals of the other daemons. A total without a reporting daemon
// keeps the last one until it expires. daemons is the number of all daemons, including this
// one; 0 if it is unknown.
func (l *Ledger) SetPeerTotal(total PeerTotal, daemons int, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.daemons = daemons
	if total.Reporting > 0 && total.Age < totalLifetime {
		l.peers.replace(total, now)
	}
	for _, p := range l.pools {
		p.shares.expire()
		p.prune(now)
	}
}

// Usage returns the demand of this daemon, for a report to its peers.
func (l *Ledger) Usage(now clock.Millis) []PoolUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := []PoolUsage{}
	for name, p := range l.pools {
		u := PoolUsage{Pool: name}
		for account, a := range p.accounts {
			if reported := a.usage(account, now); !reported.isEmpty() {
				u.Accounts = append(u.Accounts, reported)
			}
		}
		if len(u.Accounts) > 0 {
			usage = append(usage, u.bounded())
		}
	}
	return sortPools(usage)
}

// pool returns the state of the pool. l.mu must be held.
func (l *Ledger) pool(name string) *pool {
	p, ok := l.pools[name]
	if !ok {
		p = &pool{accounts: make(map[string]*account)}
		l.pools[name] = p
	}
	return p
}

// account returns the state of the class's account. l.mu must be held.
func (l *Ledger) account(c Class) *account {
	p := l.pool(c.Pool)
	a, ok := p.accounts[c.Account]
	if !ok {
		a = &account{
			since: l.since, classes: make(map[int]*ClassUsage),
			started: rate{window: window}, arrived: rate{window: arrivalWindow}, recent: rate{window: recentWindow},
		}
		p.accounts[c.Account] = a
	}
	return a
}

// class returns the counts of the urgency.
func (a *account) class(urgency int) *ClassUsage {
	c, ok := a.classes[urgency]
	if !ok {
		c = &ClassUsage{Urgency: urgency}
		a.classes[urgency] = c
	}
	return c
}

// used returns the server time that the account's requests take, in ms per ms.
func (a *account) used(now clock.Millis) float64 {
	return a.started.perMs(a.since, now) + float64(a.longRunning)
}

// usage returns the account's part of a report.
func (a *account) usage(name string, now clock.Millis) AccountUsage {
	u := AccountUsage{
		Name: name, Used: toThousandths(a.used(now)),
		Arrived: toThousandths(a.arrived.perMs(a.since, now)), Recent: toThousandths(a.recent.perMs(a.since, now)),
	}
	for _, c := range a.classes {
		if c.Running > 0 || c.Waiting > 0 {
			u.Classes = append(u.Classes, *c)
		}
	}
	sortClasses(u.Classes)
	return u
}

// prune removes accounts without requests and recent work.
func (p *pool) prune(now clock.Millis) {
	for name, a := range p.accounts {
		for urgency, c := range a.classes {
			if c.Running == 0 && c.Waiting == 0 {
				delete(a.classes, urgency)
			}
		}
		if a.usage(name, now).isEmpty() && !a.status.over {
			delete(p.accounts, name)
		}
	}
}
