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

// adopt puts a newer document in force and passes it on; an older one is ignored.
func (c *Machine) adopt(now clock.Millis, doc *tables.Document) []Effect {
	if doc == nil || doc.Version <= c.doc.Version {
		return nil
	}
	c.doc = doc
	c.view.Retain(doc.Members())
	c.tracker.Retain(func(k placement.ServerKey) bool {
		_, ok := doc.Pools[k.Pool].Servers[k.Server]
		return ok
	})
	c.owner.SetMembers(doc.Members())
	c.indexServers()
	c.updateTransferWait()
	c.noteService(now)
	return c.announceAll()
}

// indexServers prepares what each tick and each request would otherwise work out.
func (c *Machine) indexServers() {
	c.all = c.servers()
	c.polled = slices.SortedFunc(maps.Keys(c.choosePreferred()), func(a, b placement.ServerKey) int {
		return cmp.Compare(a.String(), b.String())
	})
	c.subsets = make(map[string][]string)
	for _, k := range c.polled {
		c.subsets[k.Pool] = append(c.subsets[k.Pool], k.Server)
	}
}

// noteService remembers since when operators have had this host out.
func (c *Machine) noteService(now clock.Millis) {
	switch {
	case c.doc.HostInService(c.cfg.Self):
		c.outSince = 0
	case c.outSince == 0:
		c.outSince = now
	}
}

// updateTransferWait follows the longest request that any route lets run.
func (c *Machine) updateTransferWait() {
	longest := clock.Millis(0)
	for _, r := range c.doc.Routes {
		longest = max(longest, clock.Millis(r.RequestLimitMs))
	}
	c.transfer.SetDelay(c.cfg.ConfirmWindow + longest)
}

// announceAll spreads word of a newly adopted document; each daemon does so once
// a version. The document itself crosses the wire once for each daemon.
func (c *Machine) announceAll() []Effect {
	var effects []Effect
	for _, member := range c.pickPeers(c.cfg.PushFanout) {
		effects = append(effects, AnnounceVersion{Member: member, Address: c.doc.Hosts[member].PeerAddress, Version: c.doc.Version})
	}
	return effects
}

// choosePreferred picks this daemon's subset of each pool. A server prefers
// the daemons that own its cold-start slots, so that every slot is reachable.
func (c *Machine) choosePreferred() map[placement.ServerKey]bool {
	preferred := make(map[placement.ServerKey]bool)
	for pool, p := range c.doc.Pools {
		type weighted struct {
			key    placement.ServerKey
			owns   int
			weight uint64
		}
		var list []weighted
		for name, server := range p.Servers {
			owns := 0
			if len(p.Servers) > c.cfg.SubsetSize {
				owns = c.owner.Slots(name, server.ColdSlots)
			}
			list = append(list, weighted{placement.ServerKey{Pool: pool, Server: name}, owns, container.Hash(c.cfg.Self, name)})
		}
		slices.SortFunc(list, func(a, b weighted) int {
			return cmp.Or(cmp.Compare(b.owns, a.owns), cmp.Compare(b.weight, a.weight))
		})
		for _, w := range list[:min(len(list), c.cfg.SubsetSize)] {
			preferred[w.key] = true
		}
	}
	return preferred
}

// pickPeers returns up to n other members; all of them where n allows.
func (c *Machine) pickPeers(n int) []string {
	var peers []string
	for _, member := range c.doc.Members() {
		if member != c.cfg.Self {
			peers = append(peers, member)
		}
	}
	if len(peers) <= n {
		return peers
	}
	for i := range n {
		j := i + int(c.random()%uint64(len(peers)-i))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}

func (c *Machine) random() uint64 {
	c.seed += 0x9e3779b97f4a7c15
	x := c.seed
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
