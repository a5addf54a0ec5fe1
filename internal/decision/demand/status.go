package demand

import (
	"cmp"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// status is what was last said of an account.
type status struct {
	over      bool // whether Changes last stated it over its share
	changedAt clock.Millis
}

const (
	// changePeriod is the least time between two changes of an account, so that one at the
	// edge of its share gives few log lines.
	changePeriod = 10_000 * clock.Millis(1)
	// maxChanges bounds the changes of one call of Changes. The others follow.
	maxChanges = 8
)

// AccountShare is an account's share of a pool.
type AccountShare struct {
	Pool, Account string
	Share         Share
	Over          bool // wants more than its share while others compete
}

// Changes returns the accounts that began or stopped being over their share since the
// last call, as far as requests of them were at this daemon.
func (l *Ledger) Changes(now clock.Millis) []AccountShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []AccountShare
	for _, s := range l.accountShares(now) {
		a := l.pools[s.Pool].accounts[s.Account]
		if a.status.over == s.Over || (a.status.changedAt > 0 && now-a.status.changedAt < changePeriod) || len(changes) == maxChanges {
			continue
		}
		a.status = status{over: s.Over, changedAt: now}
		changes = append(changes, s)
	}
	return changes
}

// Shares returns the shares of the accounts that have requests at this daemon, at most
// those of maxNamedAccounts accounts per pool, for pools whose capacity is known.
func (l *Ledger) Shares(now clock.Millis) []AccountShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accountShares(now)
}

// accountShares is Shares with l.mu held.
func (l *Ledger) accountShares(now clock.Millis) []AccountShare {
	var all []AccountShare
	for name, p := range l.pools {
		if p.shares.given <= 0 {
			continue
		}
		var accounts []AccountShare
		for account, a := range p.accounts {
			share := l.share(name, account, p.shares.given, now)
			accounts = append(accounts, AccountShare{Pool: name, Account: account, Share: share, Over: share.Competing && a.pace.bound})
		}
		slices.SortFunc(accounts, func(a, b AccountShare) int {
			return cmp.Or(cmp.Compare(b.Share.Measured, a.Share.Measured), cmp.Compare(a.Account, b.Account))
		})
		all = append(all, accounts[:min(len(accounts), maxNamedAccounts)]...)
	}
	return all
}
