package controlstate

import (
	"net"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/membership"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

func (c *Machine) handleStoreRead(now clock.Millis, e StoreReadDone) []Effect {
	if e.Failed {
		if c.storeDownSince == 0 {
			c.storeDownSince = now
		}
		return nil
	}
	c.storeDownSince = 0
	effects := c.adopt(now, e.Document)
	if e.Version <= c.doc.Version {
		c.view.ConfirmByStore(e.RequestedAt)
	}
	return effects
}

func (c *Machine) handlePeerState(now clock.Millis, e PeerPulled) []Effect {
	for _, s := range e.State.Members {
		c.view.Observe(membership.Observation{
			Member:      s.Member,
			Incarnation: s.Incarnation,
			Synced:      s.Synced,
			Version:     s.Version,
			ObservedAt:  e.RequestedAt - clock.Millis(max(s.AgeMs, 0)),
		})
	}
	c.learnNotices(e)
	c.learnTrips(e.State.Tripped)
	c.learnSends(e.State)
	c.confirm(now)
	return c.fetch(now, e.State.Member, e.Address, e.State.Version)
}

// fetchAgainAfter is how long an unanswered fetch holds others of the version back.
const fetchAgainAfter = 300 * clock.Millis(1)

// fetch asks a peer for its document if that is newer and isn't already under way.
func (c *Machine) fetch(now clock.Millis, member, address string, version int64) []Effect {
	if version <= c.doc.Version || address == "" {
		return nil
	}
	if version <= c.fetchVersion && now-c.fetchAt < fetchAgainAfter {
		return nil
	}
	c.fetchVersion, c.fetchAt = version, now
	return []Effect{FetchDocument{Member: member, Address: address}}
}

func (c *Machine) confirm(now clock.Millis) {
	if c.doc.Version > 0 {
		c.view.ConfirmByPeers(c.doc.Members(), c.doc.Majority(), c.doc.Version, now)
	}
}

func (c *Machine) learnNotices(e PeerPulled) {
	for _, n := range e.State.ServerUpdates {
		c.hear(n, e.RequestedAt)
	}
}

func (c *Machine) hear(n ServerUpdate, heardAt clock.Millis) {
	at := heardAt - clock.Millis(max(n.AgeMs, 0))
	if n.Leaving {
		c.noteLeaving(n.Server, at)
		return
	}
	c.noteCold(n.Server, at)
}

// tell passes news of a server on at once: until they hear it, the other
// daemons send it full load.
func (c *Machine) tell(k placement.ServerKey, leaving bool) []Effect {
	var effects []Effect
	for _, member := range c.pickPeers(c.cfg.PushFanout) {
		effects = append(effects, NotifyPeer{
			Member:  member,
			Address: c.doc.Hosts[member].PeerAddress,
			Update:  ServerUpdate{Server: k, Leaving: leaving},
		})
	}
	return effects
}

// noteCold acts on news only: a warm report that is younger than the notice stands.
func (c *Machine) noteCold(k placement.ServerKey, at clock.Millis) {
	if state := c.tracker.Get(k); state.Reported && !state.Cold && state.LoadRequestedAt > at {
		return
	}
	if n := c.notices[k]; at > n.coldAt {
		n.coldAt = at
		c.notices[k] = n
	}
	c.tracker.RecordCold(k, at)
}

func (c *Machine) noteLeaving(k placement.ServerKey, at clock.Millis) {
	if state := c.tracker.Get(k); state.Reported && !state.Load.Leaving && state.LoadRequestedAt > at+c.cfg.MaxLoadLag {
		return
	}
	if n := c.notices[k]; at > n.leavingAt {
		n.leavingAt = at
		c.notices[k] = n
	}
	c.tracker.RecordLeaving(k, at)
}

func (c *Machine) learnTrips(trips []TrippedVersion) {
	for _, t := range trips {
		if t.Version > c.tripped[t.Name] {
			c.tripped[t.Name] = t.Version
		}
	}
}

func (c *Machine) learnSends(s PeerState) {
	sends := make(map[placement.ServerKey]int, len(s.InFlight))
	for _, send := range s.InFlight {
		sends[send.Server] = send.Count
	}
	c.sends[s.Member] = sends
	total := make(map[placement.ServerKey]int)
	for member, byServer := range c.sends {
		if _, ok := c.doc.Hosts[member]; !ok {
			delete(c.sends, member)
			continue
		}
		for k, n := range byServer {
			total[k] += n
		}
	}
	c.tracker.SetPeerInFlight(total)
}

func (c *Machine) handleLoad(now clock.Millis, e LoadPollDone) []Effect {
	if e.Failed {
		c.tracker.RecordFailure(e.Server, now)
		return nil
	}
	if !c.tracker.ApplyReport(e.Server, e.Load, e.RequestedAt) {
		return nil
	}
	n := c.notices[e.Server]
	if e.Load.Leaving {
		n.leavingAt = e.RequestedAt
	} else {
		n.coldAt = e.RequestedAt
	}
	c.notices[e.Server] = n
	return c.tell(e.Server, e.Load.Leaving)
}

func (c *Machine) handleHosts(e HostListReadDone) {
	if e.Failed {
		return
	}
	for k, server := range c.all {
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil {
			continue
		}
		if slices.Contains(e.Leaving, host) || slices.Contains(e.Leaving, server.Address) {
			c.noteLeaving(k, e.RequestedAt)
		}
	}
}

func (c *Machine) handleSeen(now clock.Millis, e CallFinished) []Effect {
	before := c.tracker.Get(e.Server)
	switch e.Outcome {
	case Served:
		c.tracker.RecordSuccess(e.Server)
	case Failed:
		// A broken connection may mean a restart, after which the server is cold.
		c.tracker.RecordFailure(e.Server, now)
		c.noteCold(e.Server, now)
	case ReportedCold:
		c.noteCold(e.Server, now)
	case ReportedLeaving:
		c.noteLeaving(e.Server, now)
	}
	after := c.tracker.Get(e.Server)
	switch {
	case after.Leaving && !before.Leaving:
		return c.tell(e.Server, true)
	case after.Cold && !before.Cold:
		return c.tell(e.Server, false)
	default:
		return nil
	}
}

// PeerState returns what this daemon tells a peer that pulls it.
func (c *Machine) PeerState(now clock.Millis, sends map[placement.ServerKey]int) PeerState {
	s := PeerState{Member: c.cfg.Self, Version: c.doc.Version}
	s.Members = append(s.Members, MemberStatus{
		Member:      c.cfg.Self,
		Incarnation: c.cfg.Incarnation,
		Synced:      c.view.Synced(),
		Version:     c.doc.Version,
	})
	for _, sighting := range c.view.Observations() {
		age := now - sighting.ObservedAt
		if age < c.cfg.ConfirmWindow {
			s.Members = append(s.Members, MemberStatus{
				Member:      sighting.Member,
				Incarnation: sighting.Incarnation,
				Synced:      sighting.Synced,
				Version:     sighting.Version,
				AgeMs:       int64(age),
			})
		}
	}
	s.ServerUpdates = c.freshNotices(now)
	for name, version := range c.tripped {
		if c.tripHolds(name, version) {
			s.Tripped = append(s.Tripped, TrippedVersion{Name: name, Version: version})
		}
	}
	for k, n := range sends {
		s.InFlight = append(s.InFlight, ServerInFlight{Server: k, Count: n})
	}
	return s
}

func (c *Machine) freshNotices(now clock.Millis) []ServerUpdate {
	var fresh []ServerUpdate
	for k, n := range c.notices {
		if age := now - n.coldAt; n.coldAt > 0 && age < c.cfg.ConfirmWindow {
			fresh = append(fresh, ServerUpdate{Server: k, AgeMs: int64(age)})
		}
		if age := now - n.leavingAt; n.leavingAt > 0 && age < c.cfg.ConfirmWindow {
			fresh = append(fresh, ServerUpdate{Server: k, Leaving: true, AgeMs: int64(age)})
		}
	}
	return fresh
}
