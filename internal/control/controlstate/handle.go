package controlstate

import (
	"net"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/membership"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

func (m *Machine) handleStoreReadDone(now clock.Millis, e StoreReadDone) []Effect {
	if e.Failed {
		if m.storeDownSince == 0 {
			m.storeDownSince = now
		}
		return nil
	}
	m.storeDownSince = 0
	effects := m.adopt(now, e.Document)
	if e.Version <= m.doc.Version {
		m.view.ConfirmByStore(e.RequestedAt)
	}
	return effects
}

func (m *Machine) handlePeerPulled(now clock.Millis, e PeerPulled) []Effect {
	for _, s := range e.State.Members {
		m.view.Observe(membership.Observation{
			Member:      s.Member,
			Incarnation: s.Incarnation,
			Synced:      s.Synced,
			Version:     s.Version,
			ObservedAt:  e.RequestedAt - clock.Millis(max(s.AgeMs, 0)),
		})
	}
	m.mergeServerUpdates(e)
	m.mergeTripped(e.State.Tripped)
	m.mergePeerInFlight(e.State)
	m.confirmByPeers(now)
	return m.fetchDocument(now, e.State.Member, e.Address, e.State.Version)
}

// fetchRetryInterval is how long a fetch without an answer suppresses further fetches of
// the same version.
const fetchRetryInterval = 300 * clock.Millis(1)

// fetchDocument fetches the peer's document if it is newer than the current one and no
// fetch of that version or a newer one was started within fetchRetryInterval.
func (m *Machine) fetchDocument(now clock.Millis, member, address string, version int64) []Effect {
	if version <= m.doc.Version || address == "" {
		return nil
	}
	if version <= m.fetchVersion && now-m.fetchStartedAt < fetchRetryInterval {
		return nil
	}
	m.fetchVersion, m.fetchStartedAt = version, now
	return []Effect{FetchDocument{Member: member, Address: address}}
}

func (m *Machine) confirmByPeers(now clock.Millis) {
	if m.doc.Version > 0 {
		m.view.ConfirmByPeers(m.doc.Members(), m.doc.Majority(), m.doc.Version, now)
	}
}

func (m *Machine) mergeServerUpdates(e PeerPulled) {
	for _, u := range e.State.ServerUpdates {
		m.applyServerUpdate(u, e.RequestedAt)
	}
}

// applyServerUpdate applies a peer's update, whose age is counted back from asOf.
func (m *Machine) applyServerUpdate(u ServerUpdate, asOf clock.Millis) {
	observedAt := asOf - clock.Millis(max(u.AgeMs, 0))
	if u.Leaving {
		m.markLeaving(u.Server, observedAt)
		return
	}
	m.markCold(u.Server, observedAt)
}

// notifyPeers sends an update to some peers at once, since the other daemons send the
// server full load until they receive it.
func (m *Machine) notifyPeers(k placement.ServerKey, leaving bool) []Effect {
	var effects []Effect
	for _, member := range m.pickPeers(m.cfg.PushFanout) {
		effects = append(effects, NotifyPeer{
			Member:  member,
			Address: m.doc.Hosts[member].PeerAddress,
			Update:  ServerUpdate{Server: k, Leaving: leaving},
		})
	}
	return effects
}

// markCold marks the server as cold as of observedAt, unless a later load report says
// that it is warm.
func (m *Machine) markCold(k placement.ServerKey, observedAt clock.Millis) {
	if state := m.tracker.Get(k); state.Reported && !state.Cold && state.LoadRequestedAt > observedAt {
		return
	}
	if u := m.serverUpdates[k]; observedAt > u.coldAt {
		u.coldAt = observedAt
		m.serverUpdates[k] = u
	}
	m.tracker.RecordCold(k, observedAt)
}

// markLeaving marks the server as leaving as of observedAt, unless a load report more
// than MaxLoadLag later says that it is not: a report may lag behind the server's state.
func (m *Machine) markLeaving(k placement.ServerKey, observedAt clock.Millis) {
	if state := m.tracker.Get(k); state.Reported && !state.Load.Leaving && state.LoadRequestedAt > observedAt+m.cfg.MaxLoadLag {
		return
	}
	if u := m.serverUpdates[k]; observedAt > u.leavingAt {
		u.leavingAt = observedAt
		m.serverUpdates[k] = u
	}
	m.tracker.RecordLeaving(k, observedAt)
}

func (m *Machine) mergeTripped(trips []TrippedVersion) {
	for _, t := range trips {
		if t.Version > m.tripped[t.Name] {
			m.tripped[t.Name] = t.Version
		}
	}
}

// mergePeerInFlight replaces the in-flight counts of one peer and updates the totals over
// all peers.
func (m *Machine) mergePeerInFlight(s PeerState) {
	inFlight := make(map[placement.ServerKey]int, len(s.InFlight))
	for _, server := range s.InFlight {
		inFlight[server.Server] = server.Count
	}
	m.peerInFlight[s.Member] = inFlight
	total := make(map[placement.ServerKey]int)
	for member, byServer := range m.peerInFlight {
		if _, ok := m.doc.Hosts[member]; !ok {
			delete(m.peerInFlight, member)
			continue
		}
		for k, n := range byServer {
			total[k] += n
		}
	}
	m.tracker.SetPeerInFlight(total)
}

func (m *Machine) handleLoadPollDone(now clock.Millis, e LoadPollDone) []Effect {
	if e.Failed {
		m.tracker.RecordFailure(e.Server, now)
		return nil
	}
	if !m.tracker.ApplyReport(e.Server, e.Load, e.RequestedAt) {
		return nil
	}
	u := m.serverUpdates[e.Server]
	if e.Load.Leaving {
		u.leavingAt = e.RequestedAt
	} else {
		u.coldAt = e.RequestedAt
	}
	m.serverUpdates[e.Server] = u
	return m.notifyPeers(e.Server, e.Load.Leaving)
}

func (m *Machine) handleHostListReadDone(e HostListReadDone) {
	if e.Failed {
		return
	}
	for k, server := range m.allServers {
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil {
			continue
		}
		if slices.Contains(e.Leaving, host) || slices.Contains(e.Leaving, server.Address) {
			m.markLeaving(k, e.RequestedAt)
		}
	}
}

func (m *Machine) handleCallFinished(now clock.Millis, e CallFinished) []Effect {
	before := m.tracker.Get(e.Server)
	switch e.Outcome {
	case Served:
		m.tracker.RecordSuccess(e.Server)
	case Failed:
		// A failed call may mean that the server restarted, which leaves it cold.
		m.tracker.RecordFailure(e.Server, now)
		m.markCold(e.Server, now)
	case ReportedCold:
		m.markCold(e.Server, now)
	case ReportedLeaving:
		m.markLeaving(e.Server, now)
	}
	after := m.tracker.Get(e.Server)
	switch {
	case after.Leaving && !before.Leaving:
		return m.notifyPeers(e.Server, true)
	case after.Cold && !before.Cold:
		return m.notifyPeers(e.Server, false)
	default:
		return nil
	}
}
