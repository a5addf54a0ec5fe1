package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const millisPerSecond = 1000

// schedule holds when each kind of periodic work is due.
type schedule struct {
	pull     clock.Millis
	store    clock.Millis
	hostList clock.Millis
	loads    map[placement.ServerKey]clock.Millis
}

func newSchedule(now clock.Millis) schedule {
	return schedule{pull: now, store: now, hostList: now, loads: make(map[placement.ServerKey]clock.Millis)}
}

func (c *Machine) tick(now clock.Millis) []Effect {
	c.tracker.ExpireReports(now)
	c.confirm(now)
	var effects []Effect
	if now >= c.schedule.store {
		c.schedule.store = now + c.jitter(c.storePeriod())
		effects = append(effects, ReadStore{Version: c.doc.Version})
	}
	if now >= c.schedule.pull {
		c.schedule.pull = now + c.jitter(c.cfg.PullInterval)
		effects = append(effects, c.pullPeers()...)
	}
	if now >= c.schedule.hostList {
		c.schedule.hostList = now + c.jitter(c.cfg.HostListReadInterval)
		effects = append(effects, ReadHostList{})
	}
	return append(effects, c.pollLoads(now)...)
}

// pullPeers asks some members, or the seeds of the settings while no document
// has come: a daemon that starts while the table service is away knows no others.
func (c *Machine) pullPeers() []Effect {
	var effects []Effect
	if c.doc.Version == 0 {
		for _, address := range c.cfg.SeedAddresses {
			effects = append(effects, PullPeer{Address: address})
		}
		return effects
	}
	for _, member := range c.pickPeers(c.cfg.PullFanout) {
		effects = append(effects, PullPeer{Member: member, Address: c.doc.Hosts[member].PeerAddress})
	}
	return effects
}

func (c *Machine) pollLoads(now clock.Millis) []Effect {
	var effects []Effect
	for _, k := range c.polled {
		if now < c.schedule.loads[k] {
			continue
		}
		c.schedule.loads[k] = now + c.jitter(c.cfg.LoadPollInterval)
		effects = append(effects, PollLoad{Server: k, Address: c.doc.Pools[k.Pool].Servers[k.Server].Address})
	}
	return effects
}

// storePeriod keeps the reads of all daemons together within the budget.
func (c *Machine) storePeriod() clock.Millis {
	shared := clock.Millis(millisPerSecond * len(c.doc.Hosts) / max(c.cfg.StoreReadsPerSecond, 1))
	return max(c.cfg.StoreReadInterval, shared)
}

// jitter spreads a period by a tenth each way, so that daemons don't fall into step.
func (c *Machine) jitter(period clock.Millis) clock.Millis {
	tenth := max(period/10, 1)
	return period - tenth + clock.Millis(c.random()%uint64(2*tenth+1))
}
