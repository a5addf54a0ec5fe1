package loadbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

func engines(n int) *fleet.View {
	v := fleet.NewView()
	for i := range n {
		v = v.WithServer(fleet.Server{
			ID: fmt.Sprintf("engine-%02d", i), Pool: "text", Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			DataCentre: fmt.Sprintf("dc-%d", i%3), Version: "v1", Slots: 64,
		}, 0)
	}
	return v
}

func textPool() catalog.Pool {
	return catalog.Pool{Name: "text", Slots: 64, TokenMemory: 400_000, TokensPerEvent: 8}
}

func prompt(document string, own int) Prompt {
	return Prompt{Segments: []Segment{{"system", 500}, {document, 5_000}, {"own", own}}, Tokens: 5_500 + own, MaxOutputTokens: 300}
}

// TestSharedPromptsMeet has daemons that know nothing of each other choose for the
// same document: they must agree, and different documents must spread.
func TestSharedPromptsMeet(t *testing.T) {
	v := engines(12)
	used := make(map[string]bool)
	for d := range 40 {
		document := fmt.Sprintf("document-%d", d)
		first := ""
		for daemon := range 5 {
			c, verdict := NewBalancer().Choose(v, Request{
				Pool: textPool(), DataCentre: "dc-1", Model: "m", Prompt: prompt(document, 100), Salt: uint64(daemon), Now: 1000,
			})
			assert.Equal(t, verdict, Chosen)
			if first == "" {
				first = c.Server.ID
			}
			assert.Equal(t, c.Server.ID, first, document)
		}
		used[first] = true
	}
	assert.Assert(t, len(used) >= 9, "40 documents meet at %d of 12 servers", len(used))
}

// TestHotPromptSpills sends one document more often than one server bears; the
// rest must go to others, and no server may get more than its room.
func TestHotPromptSpills(t *testing.T) {
	v, b := engines(6), NewBalancer()
	loads := make(map[string]int)
	for i := range 300 {
		c, verdict := b.Choose(v, Request{Pool: textPool(), Model: "m", Prompt: prompt("hot", 100), Salt: uint64(i), Now: 1000})
		assert.Equal(t, verdict, Chosen)
		loads[c.Server.ID]++
	}
	assert.Assert(t, len(loads) == 6, "%v", loads)
	for id, n := range loads {
		assert.Assert(t, n <= 96, "%s has %d", id, n)
	}
}

// TestNoHerd has many daemons decide by the same old word of the loads: one
// server is idle, the others have some load.
func TestNoHerd(t *testing.T) {
	v := engines(10)
	counts := make(map[string]int)
	for daemon := range 60 {
		b := NewBalancer()
		others := make(map[string]Load)
		for _, id := range v.ServerIDs() {
			others[id] = Load{Calls: 8}
		}
		others["engine-00"] = Load{Calls: 8}
		for i := range 5 {
			b.Choose(v, Request{Pool: textPool(), Model: "m", Prompt: Prompt{Tokens: 500}, Salt: uint64(1000*daemon + i), Now: 1000})
			b.SetPeerLoads(others, 1000)
		}
		for id, load := range b.OwnLoads() {
			counts[id] += load.Calls
		}
	}
	for id, n := range counts {
		assert.Assert(t, n <= 2*300/10, "%s got %d of 300", id, n)
	}
}

// TestFreeServerIsNotFlooded replays a server that becomes free while all others are
// busy: before the next report, every one of 70 daemons chooses by the same word.
// The free server must not get more than it runs at once.
func TestFreeServerIsNotFlooded(t *testing.T) {
	const daemons, choices = 70, 3 // between two reports
	v := engines(60)
	names := make([]string, daemons)
	for i := range names {
		names[i] = fmt.Sprintf("host-%02d", i)
	}
	others := make(map[string]Load)
	for _, id := range v.ServerIDs() {
		others[id] = Load{Calls: 50, Prefill: 1_500}
	}
	others["engine-00"] = Load{}
	free := 0
	for _, name := range names {
		b := NewBalancer()
		a := Request{Pool: textPool(), Self: name, Hosts: names, Model: "m", Prompt: Prompt{Tokens: 500}, Now: 1000}
		b.Choose(v, a)
		b.SetPeerLoads(others, 1000)
		for i := range choices {
			a.Salt = container.Hash(name, fmt.Sprint(i))
			c, verdict := b.Choose(v, a)
			assert.Equal(t, verdict, Chosen)
			if c.Server.ID == "engine-00" {
				free++
			}
		}
	}
	assert.Assert(t, free <= 64, "%d of %d requests went to the free server", free, daemons*choices)
	assert.Assert(t, free > 0)
}

// TestTroubledServersComeLast puts servers that fail, are slow or were tried behind others.
func TestTroubledServersComeLast(t *testing.T) {
	const now = clock.Millis(100_000)
	cases := map[string]func(b *Balancer, e *fleet.Entry, a *Request){
		"no connection": func(b *Balancer, e *fleet.Entry, _ *Request) { b.RecordNoAnswer(e, now) },
		"fails while it answers": func(b *Balancer, e *fleet.Entry, _ *Request) {
			for range 3 {
				b.RecordServerError(e, now)
			}
		},
		"tried":           func(_ *Balancer, e *fleet.Entry, a *Request) { a.Tried = func(id string) bool { return id == e.ID } },
		"says it is full": func(b *Balancer, e *fleet.Entry, _ *Request) { b.RecordAtCapacity(e, now) },
		"slow": func(b *Balancer, e *fleet.Entry, _ *Request) {
			usual := Choice{Server: *e}
			other := Choice{Server: fleet.Entry{Server: fleet.Server{ID: "engine-01", Pool: "text"}}}
			for range 20 {
				b.RecordFirstByte(&other, "m", 500, now)
			}
			for range 8 {
				b.RecordFirstByte(&usual, "m", 4_000, now)
			}
		},
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			v, b := engines(2), NewBalancer()
			e, _ := v.Server("engine-00")
			a := Request{Pool: textPool(), Model: "m", Prompt: Prompt{Tokens: 500}, Now: now}
			b.Choose(v, a)
			b.Choose(v, a)
			trouble(b, &e, &a)
			c, verdict := b.Choose(v, a)
			assert.Equal(t, verdict, Chosen)
			assert.Equal(t, c.Server.ID, "engine-01")
		})
	}
}

// TestVerdicts tells no server from no room.
func TestVerdicts(t *testing.T) {
	v := engines(1)
	a := Request{Pool: textPool(), Prompt: Prompt{Tokens: 10}, Now: 1000}
	b := NewBalancer()
	for range 96 {
		_, verdict := b.Choose(v, a)
		assert.Equal(t, verdict, Chosen)
	}
	_, verdict := b.Choose(v, a)
	assert.Equal(t, verdict, AtCapacity)
	_, verdict = b.Choose(v.WithEvacuated("dc-0", true), a)
	assert.Equal(t, verdict, NoServer)
	a.VersionAllowed = func(version string) bool { return version == "v2" }
	_, verdict = b.Choose(v, a)
	assert.Equal(t, verdict, NoServer)
}

// TestRoomIn tells callers of a full pool when to come back.
func TestRoomIn(t *testing.T) {
	plain := catalog.Pool{Name: "text"}
	cases := map[string]struct {
		calls int
		took  clock.Millis
		want  clock.Millis
	}{
		"just full":                 {200, 60, 100},
		"far over, quick servers":   {2_000, 60, 1_695},
		"far over, slow servers":    {2_000, 600, 3_000},
		"nothing known of the pace": {200, 0, 140},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v, b := engines(1), NewBalancer()
			e, _ := v.Server("engine-00")
			choice := Choice{Server: e}
			for range 20 {
				if c.took > 0 {
					b.RecordFirstByte(&choice, "", c.took, 1000)
				}
			}
			b.SetPeerLoads(map[string]Load{"engine-00": {Calls: c.calls}}, 1000)
			b.RecordReport(&e, ServerReport{HasLoad: true, Requests: c.calls, Slots: 64}, 1000)
			assert.Equal(t, b.RetryAfter(v, plain, "", 1000), c.want)
		})
	}
}

// TestColdServerRate has any number of daemons send all they may to a cold server.
// In no second may it get more than what the deployments allow: 1.5 times the rate
// that it bears, and 5.
func TestColdServerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 100).Draw(t, "hosts")
		rate := rapid.Float64Range(3, 40).Draw(t, "rate")
		v := fleet.NewView().WithServer(fleet.Server{ID: "engine", Pool: "text", Slots: 1000, ColdRemaining: 60_000}, 0)
		pool := textPool()
		pool.ColdRate = rate
		books := make([]*Balancer, hosts)
		names := make([]string, hosts)
		for i := range books {
			books[i], names[i] = NewBalancer(), fmt.Sprintf("host-%03d", i)
		}
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		asking := rapid.Float64Range(0.01, 1).Draw(t, "asking")
		quietUntil := clock.Millis(rapid.IntRange(0, 4_000).Draw(t, "quiet until")) // lets unused parts add up
		const step = 20                                                             // ms
		var sent []int
		for now := clock.Millis(1); now < 6_000; now += step {
			n := 0
			for i, b := range books {
				if now > quietUntil && chance.Float64() < asking {
					if _, verdict := b.Choose(v, Request{Pool: pool, Self: names[i], Hosts: names, Prompt: Prompt{Tokens: 1}, Now: now}); verdict == Chosen {
						n++
					}
				}
			}
			sent = append(sent, n)
			second := 0
			for _, n := range sent[max(len(sent)-1000/step, 0):] {
				second += n
			}
			if float64(second) > rate*1.5+5 {
				t.Fatalf("%d in a second at rate %.1f with %d daemons", second, rate, hosts)
			}
		}
	})
}

// BenchmarkChoose must stay under 2 us and without allocation for one choice among
// the servers of a deployment of today.
func BenchmarkChoose(b *testing.B) {
	v, book := engines(18), NewBalancer()
	a := Request{Pool: textPool(), DataCentre: "dc-1", Model: "m", Prompt: prompt("document", 100), Now: 1000}
	b.ReportAllocs()
	for i := range b.N {
		a.Salt = uint64(i)
		c, _ := book.Choose(v, a)
		book.Done(&c)
	}
}

func ExampleLatencyModel_FirstByte() {
	var p LatencyModel
	for i := range 200 {
		tokens := 1_000 * (1 + i%10)
		p = p.WithFirstByte(tokens, clock.Millis(50+tokens/50))
	}
	fmt.Println(p.FirstByte(1_000)/10*10, p.FirstByte(10_000)/10*10)
	// Output: 60 240
}
