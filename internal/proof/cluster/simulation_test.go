package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/standin"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
)

const tickStepMs = 50

// member is a host and the daemon that runs on it.
type member struct {
	index            int
	name             string
	incarnation      uint64
	daemon           *daemon // nil while the daemon is killed
	frozen           bool
	storeUnreachable bool
	unreachablePeers map[string]bool // blocked in the direction from this member to the peer
}

// daemon is one incarnation of a member's daemon. A restart replaces it.
type daemon struct {
	machine        *controlstate.Machine
	snapshot       *controlstate.Snapshot
	inFlight       *placement.InFlightCounters
	dispatcher     *dispatch.Dispatcher
	highestVersion int64 // of the document; must not decrease
}

// timer runs a function at a virtual time. Timers with the same time run in the order
// of seq.
type timer struct {
	at  clock.Millis
	seq int
	run func()
}

// cluster simulates a deployment: it runs the control state machines of all daemons
// under one virtual clock, carries their calls with random delays and injects faults.
type cluster struct {
	t            testReporter
	clock        *clock.Manual
	rng          *rand.Rand
	tableService *standin.MemoryTableService
	members      []*member
	timers       []timer
	lastSeq      int // of timers
	oracle       *oracle
	onlyServer   string // restricts the next request to this server unless empty
	storeDown    bool
	editCount    int
	pendingEdits []*pendingEdit
	fastDelivery bool  // limits each delay to 10 ms
	dispatched   int   // number of requests
	coldLoads    []int // in-flight requests at coldServer per tick, over the last maxLoadLagMs
}

// pendingEdit is a committed edit that its daemon has not yet reported as accepted.
type pendingEdit struct {
	member *member
	daemon *daemon
	before *tables.Document
	after  *tables.Document
}

// testReporter is the subset of testing.T and rapid.T that the simulation uses.
type testReporter interface {
	Fatalf(format string, args ...any)
	Fail()
	FailNow()
	Log(args ...any)
}

func newCluster(t testReporter, seed uint64) *cluster {
	c := &cluster{
		t:            t,
		clock:        clock.NewManual(1_000_000),
		rng:          rand.New(rand.NewPCG(seed, 1)),
		tableService: standin.NewMemoryTableService(),
		oracle:       newOracle(),
	}
	initial := initialDocument()
	must(t, c.commit(nil, initial))
	c.oracle.recordAccepted(initial, c.clock.Now()-confirmWindowMs)
	for i := 1; i <= memberCount+1; i++ {
		m := &member{index: i, name: memberName(i), unreachablePeers: make(map[string]bool)}
		c.members = append(c.members, m)
		c.startDaemon(m)
	}
	c.advance(3 * confirmWindowMs)
	return c
}

// startDaemon replaces the member's daemon, if there is one, by a new incarnation.
func (c *cluster) startDaemon(m *member) {
	m.incarnation++
	now := c.clock.Now()
	d := &daemon{inFlight: placement.NewInFlightCounters()}
	d.machine = controlstate.New(controlstate.Config{
		Self:                 m.name,
		DataCentre:           "dc-1",
		Incarnation:          m.incarnation,
		ConfirmWindow:        confirmWindowMs,
		PullInterval:         pullIntervalMs,
		PullFanout:           memberCount,
		PushFanout:           memberCount,
		StoreReadInterval:    300,
		StoreReadsPerSecond:  1000,
		LoadPollInterval:     200,
		LoadStaleAfter:       1_600,
		MaxLoadLag:           maxLoadLagMs,
		HostListReadInterval: 1 << 40,
		SubsetSize:           100,
		SeedAddresses:        seedAddresses(),
	}, now)
	d.snapshot = d.machine.Snapshot(now)
	d.dispatcher = dispatch.NewDispatcher(c.clock, func() *controlstate.Snapshot { return d.snapshot }, d.inFlight, singleServerPolicy{&c.onlyServer}, 0)
	m.daemon = d
	m.frozen = false
}

// schedule runs the function after a random delay of 1 to maxDelayMs.
func (c *cluster) schedule(maxDelayMs int, run func()) {
	c.lastSeq++
	if c.fastDelivery {
		maxDelayMs = min(maxDelayMs, 10)
	}
	c.timers = append(c.timers, timer{c.clock.Now() + clock.Millis(1+c.rng.IntN(maxDelayMs)), c.lastSeq, run})
}

// advance moves the clock forward in steps of tickStepMs. Each step runs the timers that
// are due, ticks every running daemon and checks the invariants.
func (c *cluster) advance(duration clock.Millis) {
	for end := c.clock.Now() + duration; c.clock.Now() < end; {
		c.clock.Advance(tickStepMs)
		c.coldLoads = append(c.coldLoads, c.oracle.inFlight(coldServer))
		c.coldLoads = c.coldLoads[max(len(c.coldLoads)-1-maxLoadLagMs/tickStepMs, 0):]
		c.runTimers()
		for _, m := range c.members {
			c.deliver(m, m.daemon, controlstate.Tick{})
		}
		c.resolveEdits()
		c.checkInvariants()
	}
}

func (c *cluster) runTimers() {
	for {
		sort.Slice(c.timers, func(i, j int) bool {
			a, b := c.timers[i], c.timers[j]
			return a.at < b.at || (a.at == b.at && a.seq < b.seq)
		})
		if len(c.timers) == 0 || c.timers[0].at > c.clock.Now() {
			return
		}
		next := c.timers[0]
		c.timers = c.timers[1:]
		next.run()
	}
}

// deliver passes an event to the daemon unless it has been killed or restarted. A frozen
// daemon misses ticks and receives other events after it is thawed.
func (c *cluster) deliver(m *member, d *daemon, event controlstate.Event) {
	if d == nil || m.daemon != d {
		return
	}
	if m.frozen {
		if _, isTick := event.(controlstate.Tick); !isTick {
			c.schedule(200, func() { c.deliver(m, d, event) })
		}
		return
	}
	effects := d.machine.Handle(c.clock.Now(), event)
	d.snapshot = d.machine.Snapshot(c.clock.Now())
	for _, e := range effects {
		c.execute(m, d, e)
	}
}

// execute performs an effect of the daemon's state machine.
func (c *cluster) execute(m *member, d *daemon, effect controlstate.Effect) {
	requestedAt := c.clock.Now()
	switch e := effect.(type) {
	case controlstate.ReadStore:
		c.schedule(150, func() {
			event := c.readStore(m, requestedAt, e)
			c.schedule(150, func() { c.deliver(m, d, event) })
		})
	case controlstate.PullPeer:
		c.callPeer(m, c.memberAt(e.Address), func(_ *member, peer *daemon) controlstate.Event {
			return controlstate.PeerPulled{RequestedAt: requestedAt, Address: e.Address, State: peer.machine.PeerState(c.clock.Now(), peer.inFlight.All())}
		}, d)
	case controlstate.FetchDocument:
		c.callPeer(m, c.memberAt(e.Address), func(_ *member, peer *daemon) controlstate.Event {
			return controlstate.DocumentReceived{Document: peer.machine.Document()}
		}, d)
	case controlstate.AnnounceVersion:
		c.callPeer(m, e.Member, func(other *member, peer *daemon) controlstate.Event {
			c.deliver(other, peer, controlstate.VersionAnnounced{Member: m.name, Version: e.Version})
			return nil
		}, d)
	case controlstate.NotifyPeer:
		c.callPeer(m, e.Member, func(other *member, peer *daemon) controlstate.Event {
			c.deliver(other, peer, controlstate.ServerUpdateReceived{Update: e.Update})
			return nil
		}, d)
	case controlstate.PollLoad:
		c.schedule(100, func() {
			event := c.pollLoad(requestedAt, e)
			c.schedule(100, func() { c.deliver(m, d, event) })
		})
	}
}

func (c *cluster) readStore(m *member, requestedAt clock.Millis, e controlstate.ReadStore) controlstate.Event {
	doc, err := c.currentDocument()
	if err != nil || m.storeUnreachable {
		return controlstate.StoreReadDone{RequestedAt: requestedAt, Failed: true}
	}
	if doc.Version <= e.Version {
		return controlstate.StoreReadDone{RequestedAt: requestedAt, Version: doc.Version}
	}
	return controlstate.StoreReadDone{RequestedAt: requestedAt, Version: doc.Version, Document: doc}
}

// callPeer calls the named peer with a random delay in each direction. The call or the
// response is lost if that direction is blocked. A nil event from serve sends no response.
func (c *cluster) callPeer(m *member, name string, serve func(*member, *daemon) controlstate.Event, d *daemon) {
	c.schedule(150, func() {
		other := c.memberByName(name)
		if other == nil || other.daemon == nil || m.unreachablePeers[name] {
			return
		}
		peer := other.daemon
		if other.frozen {
			c.schedule(300, func() { c.respond(m, other, peer, serve, d) })
			return
		}
		c.respond(m, other, peer, serve, d)
	})
}

func (c *cluster) respond(m, other *member, peer *daemon, serve func(*member, *daemon) controlstate.Event, d *daemon) {
	if other.daemon != peer || other.frozen || other.unreachablePeers[m.name] {
		return
	}
	event := serve(other, peer)
	if event != nil {
		c.schedule(150, func() { c.deliver(m, d, event) })
	}
}

// pollLoad returns the load report of a server. The report of the cold server may be up to
// maxLoadLagMs old.
func (c *cluster) pollLoad(requestedAt clock.Millis, e controlstate.PollLoad) controlstate.Event {
	cold := e.Server.Server == coldServer
	running := c.oracle.inFlight(e.Server.Server)
	if cold {
		running = c.coldLoads[c.rng.IntN(len(c.coldLoads))]
	}
	return controlstate.LoadPollDone{RequestedAt: requestedAt, Server: e.Server, Load: placement.LoadReport{
		Running: running, Cold: cold, ColdCapacity: coldCapacity, Incarnation: "1",
	}}
}

func (c *cluster) memberAt(peerAddress string) string {
	for _, m := range c.members {
		if address(m.index) == peerAddress {
			return m.name
		}
	}
	return ""
}

func seedAddresses() []string {
	var addresses []string
	for i := 1; i <= memberCount; i++ {
		addresses = append(addresses, address(i))
	}
	return addresses
}

func (c *cluster) memberByName(name string) *member {
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

var errStoreDown = errors.New("table service unavailable")

func (c *cluster) currentDocument() (*tables.Document, error) {
	if c.storeDown {
		return nil, errStoreDown
	}
	row, err := c.tableService.Get(context.Background(), "config", "current")
	if err != nil {
		return nil, err
	}
	doc := &tables.Document{}
	return doc, json.Unmarshal(row.Value, doc)
}

var errConflict = errors.New("document changed since it was read")

// commit replaces the document in the table service. It returns errConflict unless before
// is the current one; a nil before requires that there is none.
func (c *cluster) commit(before, after *tables.Document) error {
	condition, version := tableservice.IfAbsent, int64(0)
	if before != nil {
		condition, version = tableservice.IfVersion, before.Version
	}
	write, err := tableservice.NewWrite("config", "current", after, condition, version)
	if err != nil {
		return err
	}
	applied, err := c.tableService.Commit(context.Background(), tableservice.Batch{Atomic: true, Writes: []tableservice.Write{write}})
	if err != nil {
		return err
	}
	if !applied[0].Applied {
		return errConflict
	}
	return nil
}

// edit commits a change through the member's daemon, unless it is invalid. As in the
// operator API, the set of hosts may only change once a majority has adopted the document
// before, so that the majorities of successive versions overlap. resolveEdits later records
// whether the edit is accepted.
func (c *cluster) edit(m *member, before *tables.Document, change func(*tables.Document) *tables.Document) {
	after := change(before)
	if len(after.Validate()) > 0 || len(tables.ValidateTransition(before, after)) > 0 {
		return
	}
	if len(after.Hosts) != len(before.Hosts) && !m.daemon.machine.MajorityAdopted(before, before.Version, c.clock.Now()) {
		return
	}
	c.editCount++
	after = after.WithEdit(before, fmt.Sprintf("edit-%d", c.editCount))
	if c.commit(before, after) != nil {
		return
	}
	c.pendingEdits = append(c.pendingEdits, &pendingEdit{m, m.daemon, before, after})
	c.deliver(m, m.daemon, controlstate.DocumentReceived{Document: after})
}

// resolveEdits records the pending edits that a majority has adopted. It drops those whose
// daemon was killed or restarted, since no operator receives their result.
func (c *cluster) resolveEdits() {
	var remaining []*pendingEdit
	for _, e := range c.pendingEdits {
		if e.member.daemon != e.daemon {
			continue
		}
		if !e.member.frozen && e.daemon.machine.MajorityAdopted(e.before, e.after.Version, c.clock.Now()) {
			c.oracle.recordAccepted(e.after, c.clock.Now())
			continue
		}
		remaining = append(remaining, e)
	}
	c.pendingEdits = remaining
}

// checkInvariants fails the test if a running daemon goes back to an older document,
// accepts new work under a document older than the oracle requires, or if the cold
// server has more in-flight requests than its capacity.
func (c *cluster) checkInvariants() {
	now := c.clock.Now()
	required := c.oracle.requiredDocument(now)
	for _, m := range c.members {
		if m.daemon == nil || m.frozen {
			continue
		}
		snapshot := m.daemon.machine.Snapshot(now)
		if snapshot.Document.Version < m.daemon.highestVersion {
			c.t.Fatalf("%s went back from document version %d to %d", m.name, m.daemon.highestVersion, snapshot.Document.Version)
		}
		m.daemon.highestVersion = snapshot.Document.Version
		if snapshot.Confirmed(now) && required != nil && snapshot.Document.Version < required.Version {
			c.t.Fatalf("%s accepts new work under document version %d, but version %d was accepted at least one confirmation window ago", m.name, snapshot.Document.Version, required.Version)
		}
	}
	if load := c.oracle.inFlight(coldServer); load > coldCapacity {
		c.t.Fatalf("cold server has %d in-flight requests, capacity %d", load, coldCapacity)
	}
}

// sendRequest sends a request through the member's daemon. It does nothing if the daemon
// rejects the request; the oracle checks a dispatched one.
func (c *cluster) sendRequest(m *member, version string, durationMs int, onlyServer string) {
	if m.daemon == nil || m.frozen {
		return
	}
	d := m.daemon
	now := c.clock.Now()
	c.onlyServer = onlyServer
	d.snapshot = d.machine.Snapshot(now)
	grant, err := d.dispatcher.Acquire(context.Background(), dispatch.Request{
		Account: "smiths", Weight: 1, Pool: "text", Model: "small", Version: version,
		AffinityKey: coldServer, Deadline: now + requestLimitMs,
	})
	if err != nil {
		return
	}
	c.dispatched++
	if violation := c.oracle.checkDispatch(d.snapshot.Document.Version, "small", version, grant.Key.Server, now); violation != "" {
		c.t.Fatalf("%s: %s", m.name, violation)
	}
	id := c.oracle.startRequest(grant.Key.Server, m.name)
	c.schedule(durationMs, func() {
		grant.Release()
		c.oracle.endRequest(grant.Key.Server, id)
	})
	c.checkInvariants()
}

// singleServerPolicy orders candidates like placement.Scored and keeps only the named
// server unless the name is empty.
type singleServerPolicy struct {
	server *string
}

// Name implements placement.Policy.
func (singleServerPolicy) Name() string { return "only" }

// Order implements placement.Policy.
func (p singleServerPolicy) Order(candidates []placement.Candidate, seed uint64) []placement.Candidate {
	ordered := placement.Scored{}.Order(candidates, seed)
	if *p.server == "" {
		return ordered
	}
	return slices.DeleteFunc(ordered, func(c placement.Candidate) bool { return c.Key.Server != *p.server })
}
