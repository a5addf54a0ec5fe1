package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

const (
	// memberTimeout is the time without news of a daemon after which the others take over
	// its shares.
	memberTimeout = 3_000 * clock.Millis(1)
	// memberMemory is the time without news after which a daemon is taken for gone, rather
	// than for cut off. The table of hosts keeps those that are gone.
	memberMemory = 60_000 * clock.Millis(1)
	// minorityShare is the share of a limit that daemons use who are in touch with no
	// majority of all daemons. Others may use the whole limit at the same time.
	minorityShare = 0.4
)

// MemberID identifies a daemon in reports by its host.
func MemberID(host string) uint32 { return uint32(container.Hash(host)) }

// limitMembers are the daemons that share the limits of servers. While a majority of all
// daemons is in touch, they divide the limits among themselves. Otherwise the limits are
// divided among all daemons, so that both sides of a partition use other parts.
type limitMembers struct {
	hosts      map[string]memberHost
	sharing    []string // hosts that the limits are divided among, sorted
	isMajority bool     // sharing are in touch and a majority of all
	cache      *coldstart.SlotCache
}

// memberHost is what is known of one of the other daemons.
type memberHost struct {
	listedAt clock.Millis // when it was first listed
	heardAt  clock.Millis // when it was last heard of; 0 if never
}

func newLimitMembers() limitMembers {
	return limitMembers{hosts: make(map[string]memberHost), cache: coldstart.NewSlotCache("")}
}

// update sets the daemons by the sorted list of hosts and those that are in touch. Daemons
// report themselves only while limits are in use.
func (m *limitMembers) update(hosts []string, self string, inTouch []uint32, inUse bool, now clock.Millis) {
	if m.cache.Self() != self {
		m.cache = coldstart.NewSlotCache(self)
	}
	present := make(map[uint32]bool, len(inTouch))
	for _, id := range inTouch {
		present[id] = true
	}
	known := make(map[string]memberHost, len(hosts))
	var live, all []string
	for _, name := range hosts {
		h, listed := m.hosts[name]
		if !listed || !inUse {
			h.listedAt = now
		}
		if name == self || present[MemberID(name)] {
			h.heardAt = now
		}
		if h.heardAt > 0 && now-h.heardAt < memberTimeout {
			live = append(live, name)
		}
		if now-max(h.heardAt, h.listedAt) < memberMemory {
			all = append(all, name)
		}
		known[name] = h
	}
	m.hosts, m.sharing = known, all
	if m.isMajority = 2*len(live) > len(all); m.isMajority {
		m.sharing = live
	}
	m.cache.SetMembers(m.sharing)
}

// slots returns how many of the tokens that a server's burst consists of are this daemon's.
func (m *limitMembers) slots(server string, burst int) int { return m.cache.Slots(server, burst) }

// usableShare returns the share of a limit that the daemons in sharing may use together.
func (m *limitMembers) usableShare() float64 {
	if m.isMajority {
		return 1
	}
	return minorityShare
}
