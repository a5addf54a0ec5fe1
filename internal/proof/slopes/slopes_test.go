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

// document has that many daemons and engines in 29 data centres.
func document(daemons, engines int) *tables.Document {
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

const subset = 48

func newCore(doc *tables.Document, now clock.Millis) *controlstate.Machine {
	c := controlstate.New(controlstate.Config{
		Self: "entry-0", DataCentre: "dc-0", Incarnation: 1, ConfirmWindow: 10_000, PullInterval: 1_000, PullFanout: 2, PushFanout: 4,
		StoreReadInterval: 1_000, StoreReadsPerSecond: 200, LoadPollInterval: 1_000, LoadStaleAfter: 8_000, MaxLoadLag: 500, HostListReadInterval: 5_000, SubsetSize: subset,
	}, now)
	c.Handle(now, controlstate.StoreReadDone{RequestedAt: now, Version: 1, Document: doc})
	return c
}

// filledCore is a core of that size that knows every daemon and its subset.
func filledCore(daemons, engines int) (*controlstate.Machine, *tables.Document, clock.Millis) {
	doc := document(daemons, engines)
	now := clock.Millis(1_000_000)
	c := newCore(doc, now)
	fill(c, doc, now)
	return c, doc, now
}

// fill gives the core a sighting of every daemon and a report of its subset.
func fill(c *controlstate.Machine, doc *tables.Document, now clock.Millis) {
	var state controlstate.PeerState
	state.Member = "entry-1"
	state.Version = 1
	for name := range doc.Hosts {
		state.Members = append(state.Members, controlstate.MemberStatus{Member: name, Incarnation: 1_796_340_003_000, Synced: true, Version: 1, AgeMs: 900})
	}
	c.Handle(now, controlstate.PeerPulled{RequestedAt: now, State: state})
	report(c, now)
}

func report(c *controlstate.Machine, now clock.Millis) {
	for _, name := range c.Snapshot(now).PreferredServers["text"] {
		c.Handle(now, controlstate.LoadPollDone{RequestedAt: now, Server: placement.ServerKey{Pool: "text", Server: name}, Load: placement.LoadReport{Running: 3, Incarnation: "1", Holds: []string{"small@v1"}}})
	}
}

var sizes = []struct{ daemons, engines int }{{7, 20}, {100, 450}, {200, 900}, {390, 1800}}

func name(daemons, engines int) string { return fmt.Sprintf("daemons=%d/engines=%d", daemons, engines) }

// BenchmarkPull is one answer to a pull and its taking in, with its size.
func BenchmarkPull(b *testing.B) {
	for _, s := range sizes {
		b.Run(name(s.daemons, s.engines), func(b *testing.B) {
			c, _, now := filledCore(s.daemons, s.engines)
			var text []byte
			for b.Loop() {
				state := c.PeerState(now, nil)
				text = encode(b, state)
				now += 1000
				c.Handle(now, controlstate.PeerPulled{RequestedAt: now, State: state})
			}
			b.ReportMetric(float64(len(text)), "bytes/pull")
		})
	}
}

func encode(b *testing.B, value any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	assert.NilError(b, encoder.Encode(value))
	return buffer.Bytes()
}

// BenchmarkTick is one tick of the control goroutine with its snapshot.
func BenchmarkTick(b *testing.B) {
	for _, s := range sizes {
		b.Run(name(s.daemons, s.engines), func(b *testing.B) {
			c, _, now := filledCore(s.daemons, s.engines)
			for b.Loop() {
				now += 100
				c.Handle(now, controlstate.Tick{})
				c.Snapshot(now)
			}
		})
	}
}

// BenchmarkLoadReport is the taking in of one load report.
func BenchmarkLoadReport(b *testing.B) {
	c, _, now := filledCore(390, 1800)
	k := placement.ServerKey{Pool: "text", Server: "engine-7"}
	load := placement.LoadReport{Running: 3, Incarnation: "1", Holds: []string{"small@v1"}}
	for b.Loop() {
		now += 10
		c.Handle(now, controlstate.LoadPollDone{RequestedAt: now, Server: k, Load: load})
	}
	text, err := json.Marshal(load)
	assert.NilError(b, err)
	b.ReportMetric(float64(len(text)), "bytes/report")
}

// BenchmarkAdopt is the putting in force of an edit, with the document's size.
func BenchmarkAdopt(b *testing.B) {
	for _, s := range sizes {
		b.Run(name(s.daemons, s.engines), func(b *testing.B) {
			c, doc, now := filledCore(s.daemons, s.engines)
			for b.Loop() {
				doc = doc.WithEdit(doc, "edit")
				c.Handle(now, controlstate.DocumentReceived{Document: doc})
			}
			b.ReportMetric(float64(len(encode(b, doc))), "bytes/document")
		})
	}
}

// BenchmarkRoute is one routing decision: candidates, policy and place.
func BenchmarkRoute(b *testing.B) {
	for _, s := range sizes {
		b.Run(name(s.daemons, s.engines), func(b *testing.B) {
			doc := document(s.daemons, s.engines)
			system := clock.NewSystem()
			now := system.Now()
			c := newCore(doc, now)
			fill(c, doc, now)
			report(c, now+1)
			report(c, now+2)
			snapshot := c.Snapshot(now + 2)
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

// BenchmarkSession is the signing and the check of one session token.
func BenchmarkSession(b *testing.B) {
	key := tables.SessionKey{ID: "k1", Secret: "0123456789abcdef"}
	token := session.Token{Account: "smiths", Route: "chat", Session: "visit", Pins: session.Pins{"small": "v1"}}
	for b.Loop() {
		text, err := session.Sign(token, key)
		assert.NilError(b, err)
		_, err = session.Verify(text, []tables.SessionKey{key})
		assert.NilError(b, err)
	}
}

// BenchmarkBill is one record taken in, held and written off, with its size.
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

// BenchmarkMemory reports the memory of a core and its snapshots at each size.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(name(s.daemons, s.engines), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c, _, now := filledCore(s.daemons, s.engines)
				snapshot := c.Snapshot(now)
				b.ReportMetric(float64(heap()-before)/1024, "KB/core")
				runtime.KeepAlive(c)
				runtime.KeepAlive(snapshot)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkGossip reports how old the confirmation gets in a fleet of cores that
// each pull a few peers a second, and how long an edit takes to reach all.
func BenchmarkGossip(b *testing.B) {
	for _, s := range []struct {
		daemons, fanout int
		period          clock.Millis
	}{{7, 2, 1_000}, {100, 2, 1_000}, {390, 2, 1_000}, {390, 1, 1_000}, {390, 1, 2_000}} {
		b.Run(fmt.Sprintf("daemons=%d/pulls=%d/ms=%d", s.daemons, s.fanout, s.period), func(b *testing.B) {
			for b.Loop() {
				oldest, spread := gossip(document(s.daemons, 29), s.fanout, s.period)
				b.ReportMetric(float64(oldest), "ms-oldest-confirmation")
				b.ReportMetric(float64(spread), "ms-edit-everywhere")
			}
		})
	}
}

// gossip runs the cores with the table service away for 20 virtual seconds, then
// pushes an edit through one of them.
func gossip(doc *tables.Document, fanout int, period clock.Millis) (oldest, spread clock.Millis) {
	now := clock.Millis(1_000_000)
	cores := make(map[string]*controlstate.Machine)
	for _, member := range doc.Members() {
		c := controlstate.New(controlstate.Config{
			Self: member, DataCentre: "dc-0", Incarnation: uint64(len(cores) + 1), ConfirmWindow: 15_000, PullInterval: period, PullFanout: fanout, PushFanout: 4,
			StoreReadInterval: 1_000, StoreReadsPerSecond: 200, LoadPollInterval: 1 << 40, LoadStaleAfter: 8_000, MaxLoadLag: 500, HostListReadInterval: 1 << 40, SubsetSize: 1,
		}, now)
		c.Handle(now, controlstate.StoreReadDone{RequestedAt: now, Version: 1, Document: doc})
		cores[member] = c
	}
	var run func(c *controlstate.Machine, effects []controlstate.Effect)
	run = func(c *controlstate.Machine, effects []controlstate.Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case controlstate.PullPeer:
				run(c, c.Handle(now, controlstate.PeerPulled{RequestedAt: now, Address: e.Address, State: cores[e.Member].PeerState(now, nil)}))
			case controlstate.AnnounceVersion:
				announced := controlstate.VersionAnnounced{Member: c.Snapshot(now).Self, Version: e.Version}
				run(cores[e.Member], cores[e.Member].Handle(now, announced))
			case controlstate.FetchDocument:
				run(c, c.Handle(now, controlstate.DocumentReceived{Document: cores[e.Member].Document()}))
			}
		}
	}
	members := doc.Members()
	step := func() {
		now += 100
		for _, member := range members {
			run(cores[member], cores[member].Handle(now, controlstate.Tick{}))
		}
	}
	for range 200 {
		step()
	}
	for _, c := range cores {
		oldest = max(oldest, now-(c.Snapshot(now).ConfirmedUntil-15_000))
	}
	edited := now
	next := doc.WithEdit(doc, "edit")
	run(cores[members[0]], cores[members[0]].Handle(now, controlstate.DocumentReceived{Document: next}))
	for behind := true; behind && now-edited < 60_000; {
		behind = false
		for _, c := range cores {
			behind = behind || c.Version() < next.Version
		}
		if behind {
			step()
		}
	}
	return oldest, now - edited
}
