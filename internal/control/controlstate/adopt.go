package controlstate

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// adopt puts the document in force and announces it to peers. A document that is not newer
// than the current one is ignored.
func (m *Machine) adopt(now clock.Millis, doc *tables.Document) []Effect {
	if doc == nil || doc.Version <= m.doc.Version {
		return nil
	}
	m.doc = doc
	m.view.Retain(doc.Members())
	m.tracker.Retain(func(k placement.ServerKey) bool {
		_, ok := doc.Pools[k.Pool].Servers[k.Server]
		return ok
	})
	m.slotCache.SetMembers(doc.Members())
	m.indexServers()
	m.updateHandoverDelay()
	m.updateServiceState(now)
	return m.announceDocument()
}

// indexServers rebuilds the server lists that depend only on the document, so that ticks
// and snapshots need not compute them.
func (m *Machine) indexServers() {
	m.allServers = m.listServers()
	m.polledServers = slices.SortedFunc(maps.Keys(m.choosePreferredServers()), func(a, b placement.ServerKey) int {
		return cmp.Compare(a.String(), b.String())
	})
	m.preferredServers = make(map[string][]string)
	for _, k := range m.polledServers {
		m.preferredServers[k.Pool] = append(m.preferredServers[k.Pool], k.Server)
	}
}

// updateServiceState records since when operators have had this host out of service.
func (m *Machine) updateServiceState(now clock.Millis) {
	switch {
	case m.doc.HostInService(m.cfg.Self):
		m.outOfServiceSince = 0
	case m.outOfServiceSince == 0:
		m.outOfServiceSince = now
	}
}

// updateHandoverDelay sets how long cold-start slots that a document newly assigns to this
// daemon are withheld: the confirmation window plus the longest request limit of any route.
// Until then, requests of the former owner may still be running.
func (m *Machine) updateHandoverDelay() {
	longest := clock.Millis(0)
	for _, r := range m.doc.Routes {
		longest = max(longest, clock.Millis(r.RequestLimitMs))
	}
	m.handover.SetDelay(m.cfg.ConfirmWindow + longest)
}

// announceDocument announces the version of a newly adopted document to some peers. Every
// daemon does so once per version. Peers fetch the document only if they lack it, so it is
// transferred once per daemon.
func (m *Machine) announceDocument() []Effect {
	var effects []Effect
	for _, member := range m.pickPeers(m.cfg.PushFanout) {
		effects = append(effects, AnnounceVersion{Member: member, Address: m.doc.Hosts[member].PeerAddress, Version: m.doc.Version})
	}
	return effects
}

// choosePreferredServers returns this daemon's subset of each pool, of at most SubsetSize
// servers. Servers whose cold-start slots this daemon owns come first, so that some daemon
// uses each slot; the others are ordered by rendezvous hash.
func (m *Machine) choosePreferredServers() map[placement.ServerKey]bool {
	preferred := make(map[placement.ServerKey]bool)
	for pool, p := range m.doc.Pools {
		type rankedServer struct {
			key        placement.ServerKey
			ownedSlots int
			hash       uint64
		}
		var ranked []rankedServer
		for name, server := range p.Servers {
			ownedSlots := 0
			if len(p.Servers) > m.cfg.SubsetSize {
				ownedSlots = m.slotCache.Slots(name, server.ColdSlots)
			}
			ranked = append(ranked, rankedServer{placement.ServerKey{Pool: pool, Server: name}, ownedSlots, container.Hash(m.cfg.Self, name)})
		}
		slices.SortFunc(ranked, func(a, b rankedServer) int {
			return cmp.Or(cmp.Compare(b.ownedSlots, a.ownedSlots), cmp.Compare(b.hash, a.hash))
		})
		for _, server := range ranked[:min(len(ranked), m.cfg.SubsetSize)] {
			preferred[server.key] = true
		}
	}
	return preferred
}

// pickPeers returns n other members at random, or all of them if there are no more than n.
func (m *Machine) pickPeers(n int) []string {
	var peers []string
	for _, member := range m.doc.Members() {
		if member != m.cfg.Self {
			peers = append(peers, member)
		}
	}
	if len(peers) <= n {
		return peers
	}
	for i := range n {
		j := i + int(m.nextRandom()%uint64(len(peers)-i))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}

// nextRandom returns the next number of a SplitMix64 generator that is seeded with the
// incarnation.
func (m *Machine) nextRandom() uint64 {
	m.seed += 0x9e3779b97f4a7c15
	x := m.seed
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
