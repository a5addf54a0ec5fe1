package slopes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
)

// newDocument returns a document with the daemons and engines spread over 29 data centres.
func newDocument(daemons, engines int) *tables.Document {
	doc := &tables.Document{
		Routes:         map[string]tables.Route{"chat": {Kind: tables.KindModel, MatchModel: "chat", Pool: "text", Tiers: []string{"small"}, RequestLimitMs: 20_000}},
		Pools:          map[string]tables.Pool{"text": {Kind: tables.KindModel, Servers: map[string]tables.BackendServer{}}},
		Models:         map[string]tables.Model{"small": {Versions: map[string]tables.ModelVersion{"v1": {State: tables.Active, Share: 1}}}},
		ClientAccounts: map[string]tables.ClientAccount{"smiths": {Routes: []string{"chat"}, Allowed: []string{"small"}, Weight: 1}},
		DataCentres:    map[string]tables.DataCentre{},
		Hosts:          map[string]tables.Host{},
		SessionKeys:    []tables.SessionKey{{ID: "k1", Secret: "0123456789abcdef"}},
	}
	for i := range 29 {
		doc.DataCentres[fmt.Sprintf("dc-%d", i)] = tables.DataCentre{State: tables.InService}
	}
	for i := range daemons {
		doc.Hosts[fmt.Sprintf("entry-%d", i)] = tables.Host{PeerAddress: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250), DataCentre: fmt.Sprintf("dc-%d", i%29), State: tables.InService}
	}
	for i := range engines {
		doc.Pools["text"].Servers[fmt.Sprintf("engine-%d", i)] = tables.BackendServer{
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), DataCentre: fmt.Sprintf("dc-%d", i%29), Holds: []string{"small@v1"}, Slots: 8, ColdSlots: 2,
		}
	}
	return doc.WithEdit(&tables.Document{}, "first")
}

const subsetSize = 48 // preferred servers per pool

func newMachine(doc *tables.Document, now clock.Millis) *controlstate.Machine {
	m := controlstate.New(controlstate.Config{
		Self: "entry-0", DataCentre: "dc-0", Incarnation: 1, ConfirmWindow: 10_000, PullInterval: 1_000, PullFanout: 2, PushFanout: 4,
		StoreReadInterval: 1_000, StoreReadsPerSecond: 200, LoadPollInterval: 1_000, LoadStaleAfter: 8_000, MaxLoadLag: 500, HostListReadInterval: 5_000, SubsetSize: subsetSize,
	}, now)
	m.Handle(now, controlstate.StoreReadDone{RequestedAt: now, Version: 1, Document: doc})
	return m
}

// newFilledMachine returns a machine that has the status of every daemon and a load report
// of every preferred engine. It also returns the machine's document and the time.
func newFilledMachine(daemons, engines int) (*controlstate.Machine, *tables.Document, clock.Millis) {
	doc := newDocument(daemons, engines)
	now := clock.Millis(1_000_000)
	m := newMachine(doc, now)
	fill(m, doc, now)
	return m, doc, now
}

// fill delivers a status of every daemon and a load report of every preferred engine.
func fill(m *controlstate.Machine, doc *tables.Document, now clock.Millis) {
	var state controlstate.PeerState
	state.Member = "entry-1"
	state.Version = 1
	for host := range doc.Hosts {
		state.Members = append(state.Members, controlstate.MemberStatus{Member: host, Incarnation: 1_796_340_003_000, Synced: true, Version: 1, AgeMs: 900})
	}
	m.Handle(now, controlstate.PeerPulled{RequestedAt: now, State: state})
	reportLoads(m, now)
}

func reportLoads(m *controlstate.Machine, now clock.Millis) {
	for _, server := range m.Snapshot(now).PreferredServers["text"] {
		m.Handle(now, controlstate.LoadPollDone{RequestedAt: now, Server: placement.ServerKey{Pool: "text", Server: server}, Load: placement.LoadReport{Running: 3, Incarnation: "1", Holds: []string{"small@v1"}}})
	}
}

var sizes = []struct{ daemons, engines int }{{7, 20}, {100, 450}, {200, 900}, {390, 1800}}

func sizeName(daemons, engines int) string {
	return fmt.Sprintf("daemons=%d/engines=%d", daemons, engines)
}

// BenchmarkPull builds, encodes and handles one pull response, and reports its size.
func BenchmarkPull(b *testing.B) {
	for _, s := range sizes {
		b.Run(sizeName(s.daemons, s.engines), func(b *testing.B) {
			m, _, now := newFilledMachine(s.daemons, s.engines)
			var encoded []byte
			for b.Loop() {
				state := m.PeerState(now, nil)
				encoded = encode(b, state)
				now += 1000
				m.Handle(now, controlstate.PeerPulled{RequestedAt: now, State: state})
			}
			b.ReportMetric(float64(len(encoded)), "bytes/pull")
		})
	}
}

// encode encodes a value like the peer protocol does.
func encode(b *testing.B, value any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	assert.NilError(b, encoder.Encode(value))
	return buffer.Bytes()
}

// BenchmarkTick handles one tick and takes a snapshot.
func BenchmarkTick(b *testing.B) {
	for _, s := range sizes {
		b.Run(sizeName(s.daemons, s.engines), func(b *testing.B) {
			m, _, now := newFilledMachine(s.daemons, s.engines)
			for b.Loop() {
				now += 100
				m.Handle(now, controlstate.Tick{})
				m.Snapshot(now)
			}
		})
	}
}

// BenchmarkLoadReport handles one load report, and reports its size as JSON.
func BenchmarkLoadReport(b *testing.B) {
	m, _, now := newFilledMachine(390, 1800)
	key := placement.ServerKey{Pool: "text", Server: "engine-7"}
	load := placement.LoadReport{Running: 3, Incarnation: "1", Holds: []string{"small@v1"}}
	for b.Loop() {
		now += 10
		m.Handle(now, controlstate.LoadPollDone{RequestedAt: now, Server: key, Load: load})
	}
	encoded, err := json.Marshal(load)
	assert.NilError(b, err)
	b.ReportMetric(float64(len(encoded)), "bytes/report")
}

// BenchmarkAdopt applies an edited document, and reports its size.
func BenchmarkAdopt(b *testing.B) {
	for _, s := range sizes {
		b.Run(sizeName(s.daemons, s.engines), func(b *testing.B) {
			m, doc, now := newFilledMachine(s.daemons, s.engines)
			for b.Loop() {
				doc = doc.WithEdit(doc, "edit")
				m.Handle(now, controlstate.DocumentReceived{Document: doc})
			}
			b.ReportMetric(float64(len(encode(b, doc))), "bytes/document")
		})
	}
}

// BenchmarkRoute makes one routing decision: it selects and orders the candidates, and
// acquires and releases a slot.
func BenchmarkRoute(b *testing.B) {
	for _, s := range sizes {
		b.Run(sizeName(s.daemons, s.engines), func(b *testing.B) {
			doc := newDocument(s.daemons, s.engines)
			system := clock.NewSystem()
			now := system.Now()
			m := newMachine(doc, now)
			fill(m, doc, now)
			reportLoads(m, now+1)
			reportLoads(m, now+2)
			snapshot := m.Snapshot(now + 2)
			snapshot.ConfirmedUntil = now + 1<<40
			d := dispatch.NewDispatcher(system, func() *controlstate.Snapshot { return snapshot }, placement.NewInFlightCounters(), placement.Scored{}, 0)
			r := dispatch.Request{Account: "smiths", Weight: 1, Pool: "text", Model: "small", Version: "v1", AffinityKey: "prompt", Deadline: now + 1<<40}
			b.ReportAllocs()
			for b.Loop() {
				grant, err := d.Acquire(b.Context(), r)
				assert.NilError(b, err)
				grant.Release()
			}
		})
	}
}

// BenchmarkSession signs and verifies one session token.
func BenchmarkSession(b *testing.B) {
	key := tables.SessionKey{ID: "k1", Secret: "0123456789abcdef"}
	token := session.Token{Account: "smiths", Route: "chat", Session: "visit", Pins: session.Pins{"small": "v1"}}
	for b.Loop() {
		signed, err := session.Sign(token, key)
		assert.NilError(b, err)
		_, err = session.Verify(signed, []tables.SessionKey{key})
		assert.NilError(b, err)
	}
}

// BenchmarkBill adds one bill to the ledger and marks it as written, and reports its
// encoded size.
func BenchmarkBill(b *testing.B) {
	l := billing.NewLedger(1<<30, 1000)
	r := billing.Record{Account: "smiths", Route: "chat", Version: "small@v1", Tokens: 300, CostMicros: 6000, Steps: 1}
	n := 0
	for b.Loop() {
		n++
		r.ID = fmt.Sprintf("entry-1-1a23e352de5-%d", n)
		l.Add(r)
		l.MarkWritten([]billing.Record{r})
	}
	b.ReportMetric(float64(len(encode(b, r))), "bytes/bill")
}

// BenchmarkMemory reports the heap size of a machine and its snapshot. The unit KB/core is
// KB per machine.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(sizeName(s.daemons, s.engines), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m, _, now := newFilledMachine(s.daemons, s.engines)
				snapshot := m.Snapshot(now)
				b.ReportMetric(float64(heapBytes()-before)/1024, "KB/core")
				runtime.KeepAlive(m)
				runtime.KeepAlive(snapshot)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkGossip simulates daemons that pull the state of a few peers in each interval. It
// reports the age of the oldest confirmation and the time until all daemons have an edit.
func BenchmarkGossip(b *testing.B) {
	for _, s := range []struct {
		daemons, fanout int
		pullInterval    clock.Millis
	}{{7, 2, 1_000}, {100, 2, 1_000}, {390, 2, 1_000}, {390, 1, 1_000}, {390, 1, 2_000}} {
		b.Run(fmt.Sprintf("daemons=%d/pulls=%d/ms=%d", s.daemons, s.fanout, s.pullInterval), func(b *testing.B) {
			for b.Loop() {
				oldestConfirmation, editSpread := simulateGossip(newDocument(s.daemons, 29), s.fanout, s.pullInterval)
				b.ReportMetric(float64(oldestConfirmation), "ms-oldest-confirmation")
				b.ReportMetric(float64(editSpread), "ms-edit-everywhere")
			}
		})
	}
}

// simulateGossip runs the machines for 20 virtual seconds without the table service, then
// delivers an edit to one of them and waits until all have it, 60 virtual seconds at most.
func simulateGossip(doc *tables.Document, fanout int, pullInterval clock.Millis) (oldestConfirmation, editSpread clock.Millis) {
	now := clock.Millis(1_000_000)
	machines := make(map[string]*controlstate.Machine)
	for _, member := range doc.Members() {
		m := controlstate.New(controlstate.Config{
			Self: member, DataCentre: "dc-0", Incarnation: uint64(len(machines) + 1), ConfirmWindow: 15_000, PullInterval: pullInterval, PullFanout: fanout, PushFanout: 4,
			StoreReadInterval: 1_000, StoreReadsPerSecond: 200, LoadPollInterval: 1 << 40, LoadStaleAfter: 8_000, MaxLoadLag: 500, HostListReadInterval: 1 << 40, SubsetSize: 1,
		}, now)
		m.Handle(now, controlstate.StoreReadDone{RequestedAt: now, Version: 1, Document: doc})
		machines[member] = m
	}
	var run func(m *controlstate.Machine, effects []controlstate.Effect)
	run = func(m *controlstate.Machine, effects []controlstate.Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case controlstate.PullPeer:
				run(m, m.Handle(now, controlstate.PeerPulled{RequestedAt: now, Address: e.Address, State: machines[e.Member].PeerState(now, nil)}))
			case controlstate.AnnounceVersion:
				announcement := controlstate.VersionAnnounced{Member: m.Snapshot(now).Self, Version: e.Version}
				run(machines[e.Member], machines[e.Member].Handle(now, announcement))
			case controlstate.FetchDocument:
				run(m, m.Handle(now, controlstate.DocumentReceived{Document: machines[e.Member].Document()}))
			}
		}
	}
	members := doc.Members()
	step := func() {
		now += 100
		for _, member := range members {
			run(machines[member], machines[member].Handle(now, controlstate.Tick{}))
		}
	}
	for range 200 {
		step()
	}
	for _, m := range machines {
		oldestConfirmation = max(oldestConfirmation, now-(m.Snapshot(now).ConfirmedUntil-15_000))
	}
	editedAt := now
	next := doc.WithEdit(doc, "edit")
	run(machines[members[0]], machines[members[0]].Handle(now, controlstate.DocumentReceived{Document: next}))
	for behind := true; behind && now-editedAt < 60_000; {
		behind = false
		for _, m := range machines {
			behind = behind || m.Version() < next.Version
		}
		if behind {
			step()
		}
	}
	return oldestConfirmation, now - editedAt
}
