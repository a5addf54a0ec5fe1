package demand

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// totalLifetime is the age at which the totals of the peers expire, as their loads do.
const totalLifetime = 2_000 * clock.Millis(1)

// PeerTotal is the demand of other daemons.
type PeerTotal struct {
	Usage     []PoolUsage
	Reporting int          // daemons whose demand is in Usage
	Age       clock.Millis // of the newest report
}

// peers is what the ledger knows of the other daemons.
type peers struct {
	pools     map[string]peerPool
	reporting int
	daemons   int // all, including this one; 0 if unknown
	at        clock.Millis
}

// peerPool is the other daemons' demand for a pool, by account.
type peerPool struct {
	accounts map[string]AccountUsage
	rest     *AccountUsage
}

func (p *peers) replace(total PeerTotal, now clock.Millis) {
	p.pools = make(map[string]peerPool, len(total.Usage))
	for _, u := range total.Usage {
		accounts := make(map[string]AccountUsage, len(u.Accounts))
		for _, a := range u.Accounts {
			accounts[a.Name] = a
		}
		p.pools[u.Pool] = peerPool{accounts: accounts, rest: u.Rest}
	}
	p.reporting, p.at = total.Reporting, now-total.Age
}

// isFresh reports whether there is a total that hasn't expired.
func (p *peers) isFresh(now clock.Millis) bool { return p.reporting > 0 && now-p.at < totalLifetime }

// pool returns the demand of the other daemons for the pool; none if it has expired.
func (p *peers) pool(name string, now clock.Millis) peerPool {
	if !p.isFresh(now) {
		return peerPool{}
	}
	return p.pools[name]
}

// covered returns the share of all daemons whose demand is known, this one included. Only
// that share of a capacity is divided by it: the other daemons, of which nothing is known,
// divide theirs.
func (p *peers) covered(now clock.Millis) float64 {
	known := 1
	if p.isFresh(now) {
		known += p.reporting
	}
	return min(float64(known)/float64(max(p.daemons, 1)), 1)
}

// age returns the age of the newest report. Without any it is the time since the clock's
// origin.
func (p *peers) age(now clock.Millis) clock.Millis { return now - p.at }
