package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const millisPerSecond = 1000

// schedule holds the times at which periodic work is next due.
type schedule struct {
	pull     clock.Millis
	store    clock.Millis
	hostList clock.Millis
	loads    map[placement.ServerKey]clock.Millis
}

func newSchedule(now clock.Millis) schedule {
	return schedule{pull: now, store: now, hostList: now, loads: make(map[placement.ServerKey]clock.Millis)}
}

func (m *Machine) tick(now clock.Millis) []Effect {
	m.tracker.ExpireReports(now)
	m.confirmByPeers(now)
	var effects []Effect
	if now >= m.schedule.store {
		m.schedule.store = now + m.jitter(m.storeReadInterval())
		effects = append(effects, ReadStore{Version: m.doc.Version})
	}
	if now >= m.schedule.pull {
		m.schedule.pull = now + m.jitter(m.cfg.PullInterval)
		effects = append(effects, m.pullPeers()...)
	}
	if now >= m.schedule.hostList {
		m.schedule.hostList = now + m.jitter(m.cfg.HostListReadInterval)
		effects = append(effects, ReadHostList{})
	}
	return append(effects, m.pollLoads(now)...)
}

// pullPeers pulls from some members or, before the first document, from the seed addresses
// of the settings: a daemon that starts while the table service is unavailable knows no
// other addresses.
func (m *Machine) pullPeers() []Effect {
	var effects []Effect
	if m.doc.Version == 0 {
		for _, address := range m.cfg.SeedAddresses {
			effects = append(effects, PullPeer{Address: address})
		}
		return effects
	}
	for _, member := range m.pickPeers(m.cfg.PullFanout) {
		effects = append(effects, PullPeer{Member: member, Address: m.doc.Hosts[member].PeerAddress})
	}
	return effects
}

func (m *Machine) pollLoads(now clock.Millis) []Effect {
	var effects []Effect
	for _, k := range m.polledServers {
		if now < m.schedule.loads[k] {
			continue
		}
		m.schedule.loads[k] = now + m.jitter(m.cfg.LoadPollInterval)
		effects = append(effects, PollLoad{Server: k, Address: m.doc.Pools[k.Pool].Servers[k.Server].Address})
	}
	return effects
}

// storeReadInterval is StoreReadInterval, or longer if needed to keep the reads of all
// daemons together within StoreReadsPerSecond.
func (m *Machine) storeReadInterval() clock.Millis {
	withinBudget := clock.Millis(millisPerSecond * len(m.doc.Hosts) / max(m.cfg.StoreReadsPerSecond, 1))
	return max(m.cfg.StoreReadInterval, withinBudget)
}

// jitter varies the interval by up to a tenth each way, so that the daemons' requests do
// not synchronise.
func (m *Machine) jitter(interval clock.Millis) clock.Millis {
	tenth := max(interval/10, 1)
	return interval - tenth + clock.Millis(m.nextRandom()%uint64(2*tenth+1))
}
