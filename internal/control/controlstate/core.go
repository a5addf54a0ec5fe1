package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/membership"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const never clock.Millis = -1 << 60

// Machine is the control state of one daemon. It belongs to one goroutine.
type Machine struct {
	cfg      Config
	started  clock.Millis
	doc      *tables.Document
	view     *membership.View
	tracker  *placement.Tracker
	transfer *coldstart.Handover
	owner    *coldstart.SlotCache
	tripped  map[string]int64 // model@version to the document version it tripped under
	sends    map[string]map[placement.ServerKey]int
	notices  map[placement.ServerKey]notice
	schedule schedule
	seed     uint64
	stopping bool

	fetchVersion   int64 // the newest version that was asked for
	fetchAt        clock.Millis
	storeDownSince clock.Millis
	outSince       clock.Millis
	polled         []placement.ServerKey // the preferred servers in a fixed order
	subsets        map[string][]string
	all            map[placement.ServerKey]tables.BackendServer
}

// notice is a server seen cold or leaving, kept for peers that pull later.
type notice struct {
	coldAt    clock.Millis
	leavingAt clock.Millis
}

// New returns the core of a daemon that has just started.
func New(cfg Config, now clock.Millis) *Machine {
	return &Machine{
		cfg:      cfg,
		started:  now,
		doc:      &tables.Document{},
		view:     membership.NewView(cfg.Self, cfg.ConfirmWindow, now),
		tracker:  placement.NewTracker(cfg.LoadStaleAfter),
		transfer: coldstart.NewHandover(cfg.ConfirmWindow, now),
		owner:    coldstart.NewSlotCache(cfg.Self),
		tripped:  make(map[string]int64),
		sends:    make(map[string]map[placement.ServerKey]int),
		notices:  make(map[placement.ServerKey]notice),
		schedule: newSchedule(now),
		seed:     cfg.Incarnation,
	}
}

// Handle takes in one event and returns what is to be done.
func (c *Machine) Handle(now clock.Millis, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return c.tick(now)
	case StoreReadDone:
		return c.handleStoreRead(now, e)
	case PeerPulled:
		return c.handlePeerState(now, e)
	case VersionAnnounced:
		return c.fetch(now, e.Member, c.doc.Hosts[e.Member].PeerAddress, e.Version)
	case DocumentReceived:
		return c.adopt(now, e.Document)
	case ServerUpdateReceived:
		c.hear(e.Update, now)
	case LoadPollDone:
		return c.handleLoad(now, e)
	case HostListReadDone:
		c.handleHosts(e)
	case CallFinished:
		return c.handleSeen(now, e)
	case VersionTripped:
		c.tripped[e.Name] = c.doc.Version
	case ShutdownStarted:
		c.stopping = true
	}
	return nil
}

// Version returns the version of the document in force.
func (c *Machine) Version() int64 { return c.doc.Version }

// Document returns the document in force; its version is 0 before the first.
func (c *Machine) Document() *tables.Document { return c.doc }

// Synced tells whether the daemon knows the configuration since its start.
func (c *Machine) Synced() bool { return c.view.Synced() }

// CountAdopters returns how many members are known to have adopted the version.
func (c *Machine) CountAdopters(version int64, now clock.Millis) int {
	return c.view.AdopterCount(c.doc.Members(), c.doc.Version, version, now)
}

// MajorityAdopted tells whether a majority of the members before and after the edit
// has adopted the version.
func (c *Machine) MajorityAdopted(before *tables.Document, version int64, now clock.Millis) bool {
	if c.CountAdopters(version, now) < c.doc.Majority() {
		return false
	}
	if before == nil || before.Version == 0 {
		return true
	}
	return c.view.AdopterCount(before.Members(), c.doc.Version, version, now) >= before.Majority()
}

// Snapshot makes the immutable view for traffic goroutines.
func (c *Machine) Snapshot(now clock.Millis) *Snapshot {
	s := &Snapshot{
		Document:          c.doc,
		Synced:            c.view.Synced(),
		StoreDownSince:    c.storeDownSince,
		Servers:           c.tracker.States(),
		ColdSlots:         c.coldSlots(now),
		PreferredServers:  c.subsets,
		Tripped:           make(map[string]bool, len(c.tripped)),
		Members:           c.view.Observations(),
		LivePeers:         c.livePeers(now),
		Self:              c.cfg.Self,
		DataCentre:        c.cfg.DataCentre,
		Stopping:          c.stopping,
		OutOfServiceSince: c.outSince,
		ConfirmedUntil:    never,
	}
	if c.view.Synced() && c.doc.Version > 0 {
		s.ConfirmedUntil = c.view.ConfirmedAt() + c.cfg.ConfirmWindow
	}
	for name, version := range c.tripped {
		s.Tripped[name] = c.tripHolds(name, version)
	}
	return s
}

// tripHolds tells whether a trip still counts: an operator's later edit of the
// version's row overrides it.
func (c *Machine) tripHolds(name string, underVersion int64) bool {
	model, version := tables.SplitVersion(name)
	row, ok := c.doc.Models[model].Versions[version]
	return ok && row.ChangedIn <= underVersion
}

func (c *Machine) livePeers(now clock.Millis) []string {
	var live []string
	for _, s := range c.view.Observations() {
		if now-s.ObservedAt < c.cfg.ConfirmWindow {
			live = append(live, s.Member)
		}
	}
	return live
}

func (c *Machine) coldSlots(now clock.Millis) map[placement.ServerKey]int {
	slots := make(map[placement.ServerKey]int)
	for k, server := range c.all {
		state := c.tracker.Get(k)
		bears := server.ColdSlots
		if state.Reported && (state.Load.Cold || state.Load.ColdCapacity > 0) {
			bears = min(bears, state.Load.ColdCapacity)
		}
		idle := state.Reported && state.Load.Running == 0 && state.LoadRequestedAt >= c.started+c.cfg.MaxLoadLag
		own := c.owner.Slots(k.Server, bears)
		slots[k] = c.transfer.Usable(k.String(), own, idle, now)
	}
	return slots
}

func (c *Machine) servers() map[placement.ServerKey]tables.BackendServer {
	all := make(map[placement.ServerKey]tables.BackendServer)
	for pool, p := range c.doc.Pools {
		for name, server := range p.Servers {
			all[placement.ServerKey{Pool: pool, Server: name}] = server
		}
	}
	return all
}
