package peerstats

import "gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"

// prefixTotals are the sums of the daemons' demand for prefixes, in thousandths of a server.
type prefixTotals map[uint32]int

func (t prefixTotals) add(reports []loadbalance.PrefixReport) {
	for _, r := range reports {
		t[r.Prefix] += r.Work
	}
}

// reports returns the sums, a bounded number of them; nil if there are none.
func (t prefixTotals) reports() []loadbalance.PrefixReport {
	var reports []loadbalance.PrefixReport
	for prefix, work := range t {
		reports = append(reports, loadbalance.PrefixReport{Prefix: prefix, Work: work})
	}
	return loadbalance.HottestPrefixes(reports)
}

// SetOwnPrefixes replaces the demand of this daemon for prefixes.
func (a *Aggregator) SetOwnPrefixes(prefixes []loadbalance.PrefixReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Prefixes, a.ownAt = prefixes, a.clock.Now()
}

// PeerPrefixes returns the demand of the other daemons for prefixes. It reports false if
// this daemon hasn't heard of any of them lately.
func (a *Aggregator) PeerPrefixes() ([]loadbalance.PrefixReport, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired()
	return a.others().prefixes.reports(), a.hearsPeers()
}

// hearsPeers reports whether any report is recent enough for its loads. a.mu must be held.
func (a *Aggregator) hearsPeers() bool {
	now := a.clock.Now()
	if a.peerTotal != nil && now-a.peerTotal.receivedAt < loadLifetime {
		return true
	}
	for _, reports := range []map[string]received{a.hosts, a.dataCentres} {
		for _, r := range reports {
			if now-r.receivedAt < loadLifetime {
				return true
			}
		}
	}
	return false
}
