// Package controlstate implements the control state of a daemon as a deterministic state
// machine. It consumes events and returns effects; it does no I/O and reads no clock. One
// goroutine drives the machine, and traffic goroutines read its immutable snapshots. It
// serves program/daemon; the state of program/entry is in package viewstate.
package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/membership"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// never is earlier than any instant of the local clock.
const never clock.Millis = -1 << 60

// Machine is the control state machine of a daemon. It is not safe for concurrent use.
type Machine struct {
	cfg           Config
	started       clock.Millis
	doc           *tables.Document
	view          *membership.View
	tracker       *placement.Tracker
	handover      *coldstart.Handover
	slotCache     *coldstart.SlotCache
	tripped       map[string]int64                       // model@version to the document version in force when it tripped
	peerInFlight  map[string]map[placement.ServerKey]int // by member
	serverUpdates map[placement.ServerKey]updateTimes
	schedule      schedule
	seed          uint64
	stopping      bool

	fetchVersion      int64 // newest version requested from a peer
	fetchStartedAt    clock.Millis
	storeDownSince    clock.Millis          // 0 if the last read succeeded
	outOfServiceSince clock.Millis          // 0 while in service
	polledServers     []placement.ServerKey // preferred servers, sorted
	preferredServers  map[string][]string   // by pool
	allServers        map[placement.ServerKey]tables.BackendServer
}

// updateTimes holds when a server was last found cold and leaving, for peers that pull
// later. 0 means never.
type updateTimes struct {
	coldAt    clock.Millis
	leavingAt clock.Millis
}

// New returns the machine of a daemon that starts at now, with an empty document.
func New(cfg Config, now clock.Millis) *Machine {
	return &Machine{
		cfg:           cfg,
		started:       now,
		doc:           &tables.Document{},
		view:          membership.NewView(cfg.Self, cfg.ConfirmWindow, now),
		tracker:       placement.NewTracker(cfg.LoadStaleAfter),
		handover:      coldstart.NewHandover(cfg.ConfirmWindow, now),
		slotCache:     coldstart.NewSlotCache(cfg.Self),
		tripped:       make(map[string]int64),
		peerInFlight:  make(map[string]map[placement.ServerKey]int),
		serverUpdates: make(map[placement.ServerKey]updateTimes),
		schedule:      newSchedule(now),
		seed:          cfg.Incarnation,
	}
}

// Handle applies an event and returns the effects to execute.
func (m *Machine) Handle(now clock.Millis, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return m.tick(now)
	case StoreReadDone:
		return m.handleStoreReadDone(now, e)
	case PeerPulled:
		return m.handlePeerPulled(now, e)
	case VersionAnnounced:
		return m.fetchDocument(now, e.Member, m.doc.Hosts[e.Member].PeerAddress, e.Version)
	case DocumentReceived:
		return m.adopt(now, e.Document)
	case ServerUpdateReceived:
		m.applyServerUpdate(e.Update, now)
	case LoadPollDone:
		return m.handleLoadPollDone(now, e)
	case HostListReadDone:
		m.handleHostListReadDone(e)
	case CallFinished:
		return m.handleCallFinished(now, e)
	case VersionTripped:
		m.tripped[e.Name] = m.doc.Version
	case ShutdownStarted:
		m.stopping = true
	}
	return nil
}

// Version returns the version of the document in force.
func (m *Machine) Version() int64 { return m.doc.Version }

// Document returns the document in force. Its version is 0 until the first is adopted.
func (m *Machine) Document() *tables.Document { return m.doc }

// Synced reports whether the daemon's document has been confirmed since its start.
func (m *Machine) Synced() bool { return m.view.Synced() }

// AdopterCount returns how many members are known to have adopted the version, within
// the confirmation window.
func (m *Machine) AdopterCount(version int64, now clock.Millis) int {
	return m.view.AdopterCount(m.doc.Members(), m.doc.Version, version, now)
}

// MajorityAdopted reports whether an edit is accepted: a majority of the current members
// and a majority of the members before the edit have adopted the version. before may be
// nil.
func (m *Machine) MajorityAdopted(before *tables.Document, version int64, now clock.Millis) bool {
	if m.AdopterCount(version, now) < m.doc.Majority() {
		return false
	}
	if before == nil || before.Version == 0 {
		return true
	}
	return m.view.AdopterCount(before.Members(), m.doc.Version, version, now) >= before.Majority()
}

// Snapshot returns a copy of the state for traffic goroutines.
func (m *Machine) Snapshot(now clock.Millis) *Snapshot {
	s := &Snapshot{
		Document:          m.doc,
		Synced:            m.view.Synced(),
		StoreDownSince:    m.storeDownSince,
		Servers:           m.tracker.States(),
		ColdSlots:         m.coldSlots(now),
		PreferredServers:  m.preferredServers,
		Tripped:           make(map[string]bool, len(m.tripped)),
		Members:           m.view.Observations(),
		LivePeers:         m.livePeers(now),
		Self:              m.cfg.Self,
		DataCentre:        m.cfg.DataCentre,
		Stopping:          m.stopping,
		OutOfServiceSince: m.outOfServiceSince,
		ConfirmedUntil:    never,
	}
	if m.view.Synced() && m.doc.Version > 0 {
		s.ConfirmedUntil = m.view.ConfirmedAt() + m.cfg.ConfirmWindow
	}
	for name, version := range m.tripped {
		s.Tripped[name] = m.tripInForce(name, version)
	}
	return s
}

// tripInForce reports whether a trip under the document version still applies. A later
// edit of the model version's row overrides it.
func (m *Machine) tripInForce(name string, documentVersion int64) bool {
	model, version := tables.SplitVersion(name)
	row, ok := m.doc.Models[model].Versions[version]
	return ok && row.ChangedIn <= documentVersion
}

func (m *Machine) livePeers(now clock.Millis) []string {
	var live []string
	for _, s := range m.view.Observations() {
		if now-s.ObservedAt < m.cfg.ConfirmWindow {
			live = append(live, s.Member)
		}
	}
	return live
}

// coldSlots returns, for each server, how many requests this daemon may have in flight
// there while the server is cold.
func (m *Machine) coldSlots(now clock.Millis) map[placement.ServerKey]int {
	slots := make(map[placement.ServerKey]int)
	for k, server := range m.allServers {
		state := m.tracker.Get(k)
		coldCapacity := server.ColdSlots
		if state.Reported && (state.Load.Cold || state.Load.ColdCapacity > 0) {
			coldCapacity = min(coldCapacity, state.Load.ColdCapacity)
		}
		idle := state.Reported && state.Load.Running == 0 && state.LoadRequestedAt >= m.started+m.cfg.MaxLoadLag
		own := m.slotCache.Slots(k.Server, coldCapacity)
		slots[k] = m.handover.Usable(k.String(), own, idle, now)
	}
	return slots
}

func (m *Machine) listServers() map[placement.ServerKey]tables.BackendServer {
	all := make(map[placement.ServerKey]tables.BackendServer)
	for pool, p := range m.doc.Pools {
		for name, server := range p.Servers {
			all[placement.ServerKey{Pool: pool, Server: name}] = server
		}
	}
	return all
}
