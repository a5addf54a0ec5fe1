package peerstats

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// PeersHeardAt returns when the newest report of other daemons came in; 0 if there is none.
func (a *Aggregator) PeersHeardAt() clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	heardAt := clock.Millis(0)
	if a.peerTotal != nil {
		heardAt = a.peerTotal.receivedAt
	}
	for _, reports := range []map[string]received{a.hosts, a.dataCentres} {
		for _, r := range reports {
			heardAt = max(heardAt, r.receivedAt)
		}
	}
	return heardAt
}
