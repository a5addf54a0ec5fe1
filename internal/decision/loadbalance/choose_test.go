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

// engines returns a view of n model engines in three data centres.
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

// prompt returns a prompt that shares the document and has private tokens of its own.
func prompt(document string, private int) Prompt {
	return Prompt{Segments: []Segment{{"system", 500}, {document, 5_000}, {"own", private}}, Tokens: 5_500 + private, MaxOutputTokens: 300}
}

// TestSharedPrefixUsesOneServer checks that daemons without any reports choose the same
// server for the same document, so that its prefill is cached there, and that different
// documents spread over the servers.
func TestSharedPrefixUsesOneServer(t *testing.T) {
	v := engines(12)
	used := make(map[string]bool)
	for d := range 40 {
		document := fmt.Sprintf("document-%d", d)
		first := ""
		for daemon := range 5 {
			c, result := NewBalancer().Choose(v, Request{
				Pool: textPool(), DataCentre: "dc-1", Model: "m", Prompt: prompt(document, 100), Salt: uint64(daemon), Now: 1000,
			})
			assert.Equal(t, result, Chosen)
			if first == "" {
				first = c.Server.ID
			}
			assert.Equal(t, c.Server.ID, first, document)
		}
		used[first] = true
	}
	assert.Assert(t, len(used) >= 9, "40 documents use only %d of 12 servers", len(used))
}

// TestHotPromptOverflows sends more requests for one document than one server can
// accept: the others must get the rest, and no server more than its capacity of 96.
func TestHotPromptOverflows(t *testing.T) {
	v, b := engines(6), NewBalancer()
	loads := make(map[string]int)
	for i := range 300 {
		c, result := b.Choose(v, Request{Pool: textPool(), Model: "m", Prompt: prompt("hot", 100), Salt: uint64(i), Now: 1000})
		assert.Equal(t, result, Chosen)
		loads[c.Server.ID]++
	}
	assert.Assert(t, len(loads) == 6, "%v", loads)
	for id, n := range loads {
		assert.Assert(t, n <= 96, "%s has %d", id, n)
	}
}

// TestNoHerding has many daemons choose by the same outdated load reports. No server may
// get more than twice its share.
func TestNoHerding(t *testing.T) {
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

// TestFreeServerIsNotFlooded guards against overloading a server that becomes free while
// all others are busy: until the next report, 70 daemons choose by the same reports. The
// free server must not get more requests than it has slots.
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
		r := Request{Pool: textPool(), Self: name, Hosts: names, Model: "m", Prompt: Prompt{Tokens: 500}, Now: 1000}
		b.Choose(v, r)
		b.SetPeerLoads(others, 1000)
		for i := range choices {
			r.Salt = container.Hash(name, fmt.Sprint(i))
			c, result := b.Choose(v, r)
			assert.Equal(t, result, Chosen)
			if c.Server.ID == "engine-00" {
				free++
			}
		}
	}
	assert.Assert(t, free <= 64, "%d of %d requests went to the free server", free, daemons*choices)
	assert.Assert(t, free > 0)
}

// TestUnhealthyServersRankLast checks that servers which fail, are slow, are full or were
// already tried are chosen after healthy ones.
func TestUnhealthyServersRankLast(t *testing.T) {
	const now = clock.Millis(100_000)
	cases := map[string]func(b *Balancer, e *fleet.Entry, r *Request){
		"no answer": func(b *Balancer, e *fleet.Entry, _ *Request) { b.RecordNoAnswer(e, now) },
		"answers with errors": func(b *Balancer, e *fleet.Entry, _ *Request) {
			for range 3 {
				b.RecordServerError(e, now)
			}
		},
		"tried":                   func(_ *Balancer, e *fleet.Entry, r *Request) { r.Tried = func(id string) bool { return id == e.ID } },
		"reports that it is full": func(b *Balancer, e *fleet.Entry, _ *Request) { b.RecordAtCapacity(e, now) },
		"slow": func(b *Balancer, e *fleet.Entry, _ *Request) {
			slow := Choice{Server: *e}
			other := Choice{Server: fleet.Entry{Server: fleet.Server{ID: "engine-01", Pool: "text"}}}
			for range 20 {
				b.RecordFirstByte(&other, "m", 500, now)
			}
			for range 8 {
				b.RecordFirstByte(&slow, "m", 4_000, now)
			}
		},
	}
	for name, degrade := range cases {
		t.Run(name, func(t *testing.T) {
			v, b := engines(2), NewBalancer()
			e, _ := v.Server("engine-00")
			r := Request{Pool: textPool(), Model: "m", Prompt: Prompt{Tokens: 500}, Now: now}
			b.Choose(v, r)
			b.Choose(v, r)
			degrade(b, &e, &r)
			c, result := b.Choose(v, r)
			assert.Equal(t, result, Chosen)
			assert.Equal(t, c.Server.ID, "engine-01")
		})
	}
}

// TestResults distinguishes a pool at capacity from one without a usable server.
func TestResults(t *testing.T) {
	v := engines(1)
	r := Request{Pool: textPool(), Prompt: Prompt{Tokens: 10}, Now: 1000}
	b := NewBalancer()
	for range 96 {
		_, result := b.Choose(v, r)
		assert.Equal(t, result, Chosen)
	}
	_, result := b.Choose(v, r)
	assert.Equal(t, result, AtCapacity)
	_, result = b.Choose(v.WithEvacuated("dc-0", true), r)
	assert.Equal(t, result, NoServer)
	r.VersionAllowed = func(version string) bool { return version == "v2" }
	_, result = b.Choose(v, r)
	assert.Equal(t, result, NoServer)
}

// TestRetryAfter checks the wait at a full pool, which depends on the excess load and on
// the latency of the pool.
func TestRetryAfter(t *testing.T) {
	plain := catalog.Pool{Name: "text"}
	cases := map[string]struct {
		calls     int
		firstByte clock.Millis // 0 without measurements
		want      clock.Millis
	}{
		"just full":                       {200, 60, 100},
		"far over capacity, fast servers": {2_000, 60, 1_695},
		"far over capacity, slow servers": {2_000, 600, 3_000},
		"no measurements yet":             {200, 0, 140},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v, b := engines(1), NewBalancer()
			e, _ := v.Server("engine-00")
			choice := Choice{Server: e}
			for range 20 {
				if c.firstByte > 0 {
					b.RecordFirstByte(&choice, "", c.firstByte, 1000)
				}
			}
			b.SetPeerLoads(map[string]Load{"engine-00": {Calls: c.calls}}, 1000)
			b.RecordReport(&e, ServerReport{HasLoad: true, Requests: c.calls, Slots: 64}, 1000)
			assert.Equal(t, b.RetryAfter(v, plain, "", 1000), c.want)
		})
	}
}

// TestColdServerRate has any number of daemons send as many requests as allowed to a cold
// server, some of which are cancelled and not sent. In no second may it get more than it can
// handle: 1.5 times its cold rate plus 5.
func TestColdServerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 100).Draw(t, "hosts")
		rate := rapid.Float64Range(3, 40).Draw(t, "rate")
		v := fleet.NewView().WithServer(fleet.Server{ID: "engine", Pool: "text", Slots: 1000, ColdRemaining: 60_000}, 0)
		pool := textPool()
		pool.ColdRate = rate
		balancers := make([]*Balancer, hosts)
		names := make([]string, hosts)
		for i := range balancers {
			balancers[i], names[i] = NewBalancer(), fmt.Sprintf("host-%03d", i)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		demand := rapid.Float64Range(0.01, 1).Draw(t, "demand")
		idleUntil := clock.Millis(rapid.IntRange(0, 4_000).Draw(t, "idle until")) // lets unused burst accumulate
		const stepMs = 20
		cancelled := rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "share cancelled")
		cancelAfter := rapid.IntRange(1, 20).Draw(t, "steps until cancelled")
		type planned struct {
			balancer *Balancer
			choice   Choice
		}
		plans := make(map[int][]planned) // by step at which they are cancelled
		var sent []int
		for now := clock.Millis(1); now < 6_000; now += stepMs {
			n := 0
			for _, p := range plans[len(sent)] {
				p.balancer.Cancel(&p.choice)
			}
			for i, b := range balancers {
				if now <= idleUntil || random.Float64() >= demand {
					continue
				}
				choice, result := b.Choose(v, Request{Pool: pool, Self: names[i], Hosts: names, Prompt: Prompt{Tokens: 1}, Now: now})
				switch {
				case result != Chosen:
				case random.Float64() < cancelled:
					plans[len(sent)+cancelAfter] = append(plans[len(sent)+cancelAfter], planned{b, choice})
				default:
					n++
				}
			}
			sent = append(sent, n)
			second := 0
			for _, n := range sent[max(len(sent)-1000/stepMs, 0):] {
				second += n
			}
			if float64(second) > rate*1.5+5 {
				t.Fatalf("%d in a second at rate %.1f with %d daemons", second, rate, hosts)
			}
		}
	})
}

// BenchmarkChoose measures a choice among 18 servers, the size of a current deployment.
// It must stay under 2 us and without allocations.
func BenchmarkChoose(b *testing.B) {
	v, balancer := engines(18), NewBalancer()
	r := Request{Pool: textPool(), DataCentre: "dc-1", Model: "m", Prompt: prompt("document", 100), Now: 1000}
	b.ReportAllocs()
	for i := range b.N {
		r.Salt = uint64(i)
		c, _ := balancer.Choose(v, r)
		balancer.Done(&c)
	}
}

func ExampleLatencyModel_FirstByte() {
	var m LatencyModel
	for i := range 200 {
		tokens := 1_000 * (1 + i%10)
		m = m.WithFirstByte(tokens, clock.Millis(50+tokens/50))
	}
	fmt.Println(m.FirstByte(1_000)/10*10, m.FirstByte(10_000)/10*10)
	// Output: 60 240
}
