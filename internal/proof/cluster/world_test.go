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

const tickStep = 50 // ms

// member is one daemon's host. A killed one has no node.
type member struct {
	index       int
	name        string
	incarnation uint64
	node        *node
	frozen      bool
	storeCut    bool
	cutTo       map[string]bool // peers that this member's calls don't reach
}

// node is one run of a daemon.
type node struct {
	core       *controlstate.Machine
	snapshot   *controlstate.Snapshot
	counters   *placement.InFlightCounters
	dispatcher *dispatch.Dispatcher
	highest    int64
}

// message is something under way that happens at an instant.
type message struct {
	at  clock.Millis
	seq int
	run func()
}

// world is the fuzzed deployment.
type world struct {
	t         testReporter
	clock     *clock.Manual
	random    *rand.Rand
	table     *standin.MemoryTableService
	members   []*member
	messages  []message
	seq       int
	oracle    *oracle
	only      string // server that the next request goes to; any where empty
	storeDown bool
	edits     int
	waiting   []*pendingEdit
	quick     bool  // messages take a few ms at most
	handed    int   // requests handed over
	lagged    []int // requests at the cold server now and a load lag ago
}

// pendingEdit is an edit that its daemon waits to see accepted.
type pendingEdit struct {
	member *member
	node   *node
	before *tables.Document
	after  *tables.Document
}

// testReporter is what testing.T and rapid.T have in common here.
type testReporter interface {
	Fatalf(format string, args ...any)
	Fail()
	FailNow()
	Log(args ...any)
}

func newWorld(t testReporter, seed uint64) *world {
	w := &world{
		t:      t,
		clock:  clock.NewManual(1_000_000),
		random: rand.New(rand.NewPCG(seed, 1)),
		table:  standin.NewMemoryTableService(),
		oracle: newOracle(),
	}
	first := firstDocument()
	must(t, w.commit(nil, first))
	w.oracle.accept(first, w.clock.Now()-window)
	for i := 1; i <= memberCount+1; i++ {
		m := &member{index: i, name: memberName(i), cutTo: make(map[string]bool)}
		w.members = append(w.members, m)
		w.start(m)
	}
	w.pass(3 * window)
	return w
}

func (w *world) start(m *member) {
	m.incarnation++
	now := w.clock.Now()
	n := &node{counters: placement.NewInFlightCounters()}
	n.core = controlstate.New(controlstate.Config{
		Self:                 m.name,
		DataCentre:           "dc-1",
		Incarnation:          m.incarnation,
		ConfirmWindow:        window,
		PullInterval:         pullPeriod,
		PullFanout:           memberCount,
		PushFanout:           memberCount,
		StoreReadInterval:    300,
		StoreReadsPerSecond:  1000,
		LoadPollInterval:     200,
		LoadStaleAfter:       1_600,
		MaxLoadLag:           loadLag,
		HostListReadInterval: 1 << 40,
		SubsetSize:           100,
		SeedAddresses:        seeds(),
	}, now)
	n.snapshot = n.core.Snapshot(now)
	n.dispatcher = dispatch.NewDispatcher(w.clock, func() *controlstate.Snapshot { return n.snapshot }, n.counters, onlyPolicy{&w.only}, 0)
	m.node = n
	m.frozen = false
}

// after runs the function between 1 and limit ms from now.
func (w *world) after(limit int, run func()) {
	w.seq++
	if w.quick {
		limit = min(limit, 10)
	}
	w.messages = append(w.messages, message{w.clock.Now() + clock.Millis(1+w.random.IntN(limit)), w.seq, run})
}

// pass lets time go by, with a tick of every running core each step.
func (w *world) pass(d clock.Millis) {
	for end := w.clock.Now() + d; w.clock.Now() < end; {
		w.clock.Advance(tickStep)
		w.lagged = append(w.lagged, w.oracle.load(coldServer))
		w.lagged = w.lagged[max(len(w.lagged)-1-loadLag/tickStep, 0):]
		w.deliver()
		for _, m := range w.members {
			w.handle(m, m.node, controlstate.Tick{})
		}
		w.settleEdits()
		w.checkAll()
	}
}

func (w *world) deliver() {
	for {
		sort.Slice(w.messages, func(i, j int) bool {
			a, b := w.messages[i], w.messages[j]
			return a.at < b.at || (a.at == b.at && a.seq < b.seq)
		})
		if len(w.messages) == 0 || w.messages[0].at > w.clock.Now() {
			return
		}
		next := w.messages[0]
		w.messages = w.messages[1:]
		next.run()
	}
}

// handle gives an event to a run of a daemon, if that run still goes on. A
// frozen one gets it once it is thawed.
func (w *world) handle(m *member, n *node, event controlstate.Event) {
	if n == nil || m.node != n {
		return
	}
	if m.frozen {
		if _, isTick := event.(controlstate.Tick); !isTick {
			w.after(200, func() { w.handle(m, n, event) })
		}
		return
	}
	effects := n.core.Handle(w.clock.Now(), event)
	n.snapshot = n.core.Snapshot(w.clock.Now())
	for _, e := range effects {
		w.perform(m, n, e)
	}
}

func (w *world) perform(m *member, n *node, effect controlstate.Effect) {
	asked := w.clock.Now()
	switch e := effect.(type) {
	case controlstate.ReadStore:
		w.after(150, func() {
			event := w.readStore(m, asked, e)
			w.after(150, func() { w.handle(m, n, event) })
		})
	case controlstate.PullPeer:
		w.callPeer(m, w.nameAt(e.Address), func(_ *member, peer *node) controlstate.Event {
			return controlstate.PeerPulled{RequestedAt: asked, Address: e.Address, State: peer.core.PeerState(w.clock.Now(), peer.counters.All())}
		}, n)
	case controlstate.FetchDocument:
		w.callPeer(m, w.nameAt(e.Address), func(_ *member, peer *node) controlstate.Event {
			return controlstate.DocumentReceived{Document: peer.core.Document()}
		}, n)
	case controlstate.AnnounceVersion:
		w.callPeer(m, e.Member, func(other *member, peer *node) controlstate.Event {
			w.handle(other, peer, controlstate.VersionAnnounced{Member: m.name, Version: e.Version})
			return nil
		}, n)
	case controlstate.NotifyPeer:
		w.callPeer(m, e.Member, func(other *member, peer *node) controlstate.Event {
			w.handle(other, peer, controlstate.ServerUpdateReceived{Update: e.Update})
			return nil
		}, n)
	case controlstate.PollLoad:
		w.after(100, func() {
			event := w.reportLoad(asked, e)
			w.after(100, func() { w.handle(m, n, event) })
		})
	}
}

func (w *world) readStore(m *member, asked clock.Millis, e controlstate.ReadStore) controlstate.Event {
	doc, err := w.current()
	if err != nil || m.storeCut {
		return controlstate.StoreReadDone{RequestedAt: asked, Failed: true}
	}
	if doc.Version <= e.Version {
		return controlstate.StoreReadDone{RequestedAt: asked, Version: doc.Version}
	}
	return controlstate.StoreReadDone{RequestedAt: asked, Version: doc.Version, Document: doc}
}

// callPeer carries a call there and its answer back, each of which may be cut.
func (w *world) callPeer(m *member, name string, serve func(*member, *node) controlstate.Event, n *node) {
	w.after(150, func() {
		other := w.find(name)
		if other == nil || other.node == nil || m.cutTo[name] {
			return
		}
		peer := other.node
		if other.frozen {
			w.after(300, func() { w.answer(m, other, peer, serve, n) })
			return
		}
		w.answer(m, other, peer, serve, n)
	})
}

func (w *world) answer(m, other *member, peer *node, serve func(*member, *node) controlstate.Event, n *node) {
	if other.node != peer || other.frozen || other.cutTo[m.name] {
		return
	}
	event := serve(other, peer)
	if event != nil {
		w.after(150, func() { w.handle(m, n, event) })
	}
}

func (w *world) reportLoad(asked clock.Millis, e controlstate.PollLoad) controlstate.Event {
	cold := e.Server.Server == coldServer
	running := w.oracle.load(e.Server.Server)
	if cold {
		running = w.lagged[w.random.IntN(len(w.lagged))]
	}
	return controlstate.LoadPollDone{RequestedAt: asked, Server: e.Server, Load: placement.LoadReport{
		Running: running, Cold: cold, ColdCapacity: coldBears, Incarnation: "1",
	}}
}

func (w *world) nameAt(peerAddress string) string {
	for _, m := range w.members {
		if address(m.index) == peerAddress {
			return m.name
		}
	}
	return ""
}

func seeds() []string {
	var list []string
	for i := 1; i <= memberCount; i++ {
		list = append(list, address(i))
	}
	return list
}

func (w *world) find(name string) *member {
	for _, m := range w.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

var errStoreDown = errors.New("store is down")

func (w *world) current() (*tables.Document, error) {
	if w.storeDown {
		return nil, errStoreDown
	}
	row, err := w.table.Get(context.Background(), "config", "current")
	if err != nil {
		return nil, err
	}
	doc := &tables.Document{}
	return doc, json.Unmarshal(row.Value, doc)
}

var errConflict = errors.New("another edit came first")

// commit is the compare-and-set of an edit.
func (w *world) commit(before, after *tables.Document) error {
	condition, version := tableservice.IfAbsent, int64(0)
	if before != nil {
		condition, version = tableservice.IfVersion, before.Version
	}
	write, err := tableservice.NewWrite("config", "current", after, condition, version)
	if err != nil {
		return err
	}
	applied, err := w.table.Commit(context.Background(), tableservice.Batch{Atomic: true, Writes: []tableservice.Write{write}})
	if err != nil {
		return err
	}
	if !applied[0].Applied {
		return errConflict
	}
	return nil
}

// edit has a daemon commit a change; whether it is accepted shows later.
func (w *world) edit(m *member, before *tables.Document, change func(*tables.Document) *tables.Document) {
	after := change(before)
	if len(after.Validate()) > 0 || len(tables.ValidateTransition(before, after)) > 0 {
		return
	}
	if len(after.Hosts) != len(before.Hosts) && !m.node.core.MajorityAdopted(before, before.Version, w.clock.Now()) {
		return
	}
	w.edits++
	after = after.WithEdit(before, fmt.Sprintf("edit-%d", w.edits))
	if w.commit(before, after) != nil {
		return
	}
	w.waiting = append(w.waiting, &pendingEdit{m, m.node, before, after})
	w.handle(m, m.node, controlstate.DocumentReceived{Document: after})
}

func (w *world) settleEdits() {
	var rest []*pendingEdit
	for _, e := range w.waiting {
		if e.member.node != e.node {
			continue
		}
		if !e.member.frozen && e.node.core.MajorityAdopted(e.before, e.after.Version, w.clock.Now()) {
			w.oracle.accept(e.after, w.clock.Now())
			continue
		}
		rest = append(rest, e)
	}
	w.waiting = rest
}

// checkAll holds every running daemon against the oracle.
func (w *world) checkAll() {
	now := w.clock.Now()
	floor := w.oracle.floor(now)
	for _, m := range w.members {
		if m.node == nil || m.frozen {
			continue
		}
		s := m.node.core.Snapshot(now)
		if s.Document.Version < m.node.highest {
			w.t.Fatalf("%s went back from version %d to %d", m.name, m.node.highest, s.Document.Version)
		}
		m.node.highest = s.Document.Version
		if s.Confirmed(now) && floor != nil && s.Document.Version < floor.Version {
			w.t.Fatalf("%s takes new work under version %d although version %d was accepted a window ago", m.name, s.Document.Version, floor.Version)
		}
	}
	if load := w.oracle.load(coldServer); load > coldBears {
		w.t.Fatalf("the cold server has %d requests and bears %d", load, coldBears)
	}
}

// request has a daemon hand a request over, if it would.
func (w *world) request(m *member, version string, lasts int, only string) {
	if m.node == nil || m.frozen {
		return
	}
	n := m.node
	now := w.clock.Now()
	w.only = only
	n.snapshot = n.core.Snapshot(now)
	grant, err := n.dispatcher.Acquire(context.Background(), dispatch.Request{
		Account: "smiths", Weight: 1, Pool: "text", Model: "small", Version: version,
		AffinityKey: coldServer, Deadline: now + requestLimit,
	})
	if err != nil {
		return
	}
	w.handed++
	if wrong := w.oracle.judgeHandOver(n.snapshot.Document.Version, "small", version, grant.Key.Server, now); wrong != "" {
		w.t.Fatalf("%s %s", m.name, wrong)
	}
	id := w.oracle.begin(grant.Key.Server, m.name)
	w.after(lasts, func() {
		grant.Release()
		w.oracle.end(grant.Key.Server, id)
	})
	w.checkAll()
}

// onlyPolicy orders as the product does, and can be held to one server.
type onlyPolicy struct {
	only *string
}

// Name returns the policy's name.
func (onlyPolicy) Name() string { return "only" }

// Order keeps to the named server where one is named.
func (p onlyPolicy) Order(candidates []placement.Candidate, seed uint64) []placement.Candidate {
	ordered := placement.Scored{}.Order(candidates, seed)
	if *p.only == "" {
		return ordered
	}
	return slices.DeleteFunc(ordered, func(c placement.Candidate) bool { return c.Key.Server != *p.only })
}
