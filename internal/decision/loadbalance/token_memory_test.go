package loadbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

func countingBalancer() *Balancer {
	b := NewBalancer()
	b.SetFeatures(loadfeatures.Features{SharedCapacity: true})
	return b
}

// tokenReplay replays requests of many daemons that learn of each other by reports, as the
// reports of peerstats arrive: a daemon's state is 0.4 to 0.8 s old in its own data centre and
// 0.8 to 1.2 s elsewhere.
type tokenReplay struct {
	random    *rand.Rand
	view      *fleet.View
	pool      catalog.Pool
	names     []string
	balancers []*Balancer
	history   [][]map[string]TokenLoad // by report period and daemon
	loads     [][]map[string]Load
	running   []replayedRequest
	rejected  int
	placed    int
	sent      map[string]int // in flight by server
}

type replayedRequest struct {
	daemon int
	choice Choice
	need   tokenNeed
	ends   clock.Millis
}

const tokenReplayPeriod = 400 * clock.Millis(1)

func newTokenReplay(seed uint64, daemons, servers, slots, memory int, counted bool) *tokenReplay {
	r := &tokenReplay{random: rand.New(rand.NewPCG(seed, 2)), view: fleet.NewView(), sent: make(map[string]int)}
	r.pool = catalog.Pool{Name: "text", Slots: slots, TokenMemory: memory, TokensPerEvent: 10}
	for i := range servers {
		r.view = r.view.WithServer(fleet.Server{ID: fmt.Sprintf("engine-%03d", i), Pool: "text", Address: fmt.Sprintf("127.0.0.1:%d", i+1), DataCentre: "dc-1", Version: "v1", Slots: slots}, 0)
	}
	for i := range daemons {
		r.names = append(r.names, fmt.Sprintf("host-%02d", i))
		b := NewBalancer()
		b.SetFeatures(loadfeatures.Features{SharedCapacity: counted})
		r.balancers = append(r.balancers, b)
	}
	return r
}

// exchange collects the daemons' reports and passes those of an earlier period to the others:
// that of its data centre from one period ago, of the others from two.
func (r *tokenReplay) exchange(now clock.Millis) {
	var tokens []map[string]TokenLoad
	var loads []map[string]Load
	for _, b := range r.balancers {
		tokens, loads = append(tokens, b.OwnTokens()), append(loads, b.OwnLoads())
	}
	r.history, r.loads = append(r.history, tokens), append(r.loads, loads)
	for d, b := range r.balancers {
		sum, calls := make(map[string]TokenLoad), make(map[string]Load)
		for other := range r.balancers {
			lag := 2
			if other%3 == d%3 {
				lag = 1
			}
			if period := len(r.history) - 1 - lag; other != d && period >= 0 {
				for id, load := range r.history[period][other] {
					sum[id] = sum[id].Plus(load)
				}
				for id, load := range r.loads[period][other] {
					calls[id] = calls[id].Plus(load)
				}
			}
		}
		b.SetPeerTokens(sum, now)
		b.SetPeerLoads(calls, now)
	}
}

// arrive places a request of the daemon.
func (r *tokenReplay) arrive(daemon int, p Prompt, duration, now clock.Millis) {
	c, result := r.balancers[daemon].Choose(r.view, Request{
		Pool: r.pool, DataCentre: "dc-1", Self: r.names[daemon], Hosts: r.names, Model: "m", Prompt: p, Salt: r.random.Uint64(), Now: now,
	})
	if result != Chosen {
		r.rejected++
		return
	}
	r.placed++
	need := c.tokens
	if need.total() == 0 {
		// Not counted by the balancer: as the server holds it.
		need = tokenNeed{private: p.Tokens + p.MaxOutputTokens}
		if len(p.Segments) > 1 {
			need = tokenNeed{private: need.private - p.Segments[0].Tokens, prefix: uint32(container.Hash(p.Segments[0].ID)), shared: p.Segments[0].Tokens}
		}
	}
	r.running = append(r.running, replayedRequest{daemon, c, need, now + duration})
}

// finish ends the requests that are done, and returns the tokens held at the fullest server and
// at all.
func (r *tokenReplay) finish(now clock.Millis) (fullest, all int) {
	kept := r.running[:0]
	servers := make(map[string]TokenLoad)
	for _, q := range r.running {
		if q.ends <= now {
			r.balancers[q.daemon].Done(&q.choice)
			continue
		}
		kept = append(kept, q)
		load := TokenLoad{Private: q.need.private}
		if q.need.shared > 0 {
			load.Shared = map[uint32]int{q.need.prefix: q.need.shared}
		}
		servers[q.choice.Server.ID] = servers[q.choice.Server.ID].Plus(load)
	}
	r.running = kept
	for _, load := range servers {
		fullest, all = max(fullest, load.Total()), all+load.Total()
	}
	return fullest, all
}

// TestTokensFitServers replays long prompts at 59 daemons whose reports are 0.4 to 1.2 s old,
// also a flood of one prompt prefix through all daemons or two. An engine crashes if the tokens of
// its requests exceed its memory, which they do if only its requests are counted.
func TestTokensFitServers(t *testing.T) {
	const daemons, slots, memory = 59, 64, 424_940
	cases := map[string]struct {
		hot     float64 // share of the requests with the same prefix
		entry   int     // daemons that the requests arrive at
		servers int
		calm    clock.Millis // until then an eighth of the requests
	}{
		"spread":                    {0, daemons, 12, 0},
		"hot prefix":                {0.6, daemons, 12, 0},
		"one prefix":                {1, daemons, 12, 0},
		"two daemons":               {0, 2, 12, 0},
		"many servers":              {0, daemons, 140, 0},
		"many servers, hot prefix":  {0.3, daemons, 140, 0},
		"many servers, rise":        {0.3, daemons, 140, 3_400},
		"many servers, two daemons": {0, 2, 140, 0},
	}
	for name, c := range cases {
		seeds, seconds := uint64(3), 8
		if c.servers > 100 {
			seeds, seconds = 1, 5 // it takes most of the time
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				r := newTokenReplay(seed, daemons, c.servers, slots, memory, true)
				fullest, sum := 0, 0
				for now := clock.Millis(1_000); now < 1_000*clock.Millis(1+seconds); now += 10 {
					if now%tokenReplayPeriod == 0 {
						r.exchange(now)
					}
					highest, all := r.finish(now)
					fullest, sum = max(fullest, highest), sum+all
					rate := c.servers / 6 // twice what fits
					if now < c.calm {
						rate /= 8
					}
					for range rate {
						document := fmt.Sprintf("document-%d", r.random.IntN(60))
						if r.random.Float64() < c.hot {
							document = "hot"
						}
						private := []int{800, 2_300, 6_600}[r.random.IntN(3)]
						p := Prompt{Segments: []Segment{{document, 5_382}, {"own", private}}, Tokens: 5_382 + private, MaxOutputTokens: 400}
						r.arrive(r.random.IntN(c.entry), p, 3_000+clock.Millis(r.random.IntN(6_000)), now)
					}
				}
				t.Logf("fullest server: %.2f of its memory, mean %.2f; %d placed, %d rejected", float64(fullest)/memory, float64(sum)/memory/float64(c.servers)/float64(100*seconds), r.placed, r.rejected)
				assert.Assert(t, fullest <= memory, "%d tokens at a server with memory for %d", fullest, memory)
			})
		}
	}
}

// TestTokenMemoryOnCalmDay replays the load of 59 daemons and 140 engines with 16 slots, which their
// memory suffices for. Counting tokens must reject nothing, and must not keep prompts from the
// servers that have their prefixes.
func TestTokenMemoryOnCalmDay(t *testing.T) {
	shared := make(map[bool]int)
	for _, counted := range []bool{false, true} {
		const seed = 7
		r := newTokenReplay(seed, 59, 140, 16, 424_940, counted)
		kinds := []struct{ perSecond, prompt, shared, output int }{{105, 12_000, 5_382, 400}, {120, 826, 198, 300}, {156, 2_368, 568, 20}}
		for now := clock.Millis(1_000); now < 6_000; now += 10 {
			if now%replayPeriod == 0 {
				r.exchange(now)
			}
			r.finish(now)
			for i, k := range kinds {
				for range k.perSecond/100 + min(r.random.IntN(100)/max(100-k.perSecond%100, 1), 1) {
					document := fmt.Sprintf("%d-%d", i, r.random.IntN(40))
					p := Prompt{Segments: []Segment{{document, k.shared}, {"own", k.prompt - k.shared}}, Tokens: k.prompt, MaxOutputTokens: k.output}
					r.arrive(r.random.IntN(59), p, 2_000+clock.Millis(r.random.IntN(3_000)), now)
				}
			}
		}
		for _, q := range r.running {
			if q.choice.PrefillTokens < q.need.total()-400 {
				shared[counted]++
			}
		}
		t.Logf("seed %d, counted %v: %d placed, %d rejected, %d of %d running at the servers with their prefixes", seed, counted, r.placed, r.rejected, shared[counted], len(r.running))
		assert.Equal(t, r.rejected, 0)
	}
	assert.Assert(t, float64(shared[true]) >= 0.95*float64(shared[false]))
}

// TestKnownTokensFit checks with one daemon, or a lasting exchange, that what is known at a
// server never exceeds its memory, and that all is released at the end.
func TestKnownTokensFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, v, pool := countingBalancer(), engines(3), textPool()
		peers := map[string]TokenLoad{}
		for _, id := range v.ServerIDs() {
			peers[id] = TokenLoad{Private: rapid.IntRange(0, 300_000).Draw(t, "peers"), Shared: map[uint32]int{1: 5_000}}
		}
		hosts := []string{"a", "b", "c"}
		b.SetPeerTokens(peers, 1_000)
		var choices []Choice
		for now := clock.Millis(1_000); now < 2_500; now += 10 {
			private := rapid.IntRange(0, 30_000).Draw(t, "private")
			document := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "document"))
			if c, result := b.Choose(v, Request{Pool: pool, Self: "a", Hosts: hosts, Model: "m", Prompt: prompt(document, private), Now: now}); result == Chosen {
				choices = append(choices, c)
			}
			for id, own := range b.OwnTokens() {
				assert.Assert(t, own.Plus(peers[id]).Total() <= max(pool.TokenMemory, peers[id].Total()))
			}
		}
		for i := range choices {
			b.Done(&choices[i])
		}
		assert.Equal(t, len(b.OwnTokens()), 0)
	})
}

// TestTokensWithoutReports has daemons place requests after the reports of their peers have
// ended. Each must use no more than its share of what remains above its own usage, or one request
// if that is larger, and all of them no more than a server's memory beyond what they used before.
func TestTokensWithoutReports(t *testing.T) {
	const daemons = 59
	for _, tokens := range []int{500, 5_000, 12_000, 60_000} {
		t.Run(fmt.Sprint(tokens), func(t *testing.T) {
			r := newTokenReplay(1, daemons, 40, 1_000, 424_940, true)
			for i := range 40 * daemons {
				r.arrive(i%daemons, Prompt{Tokens: 500}, 100_000, 1_000)
			}
			r.exchange(1_000)
			r.exchange(1_400)
			before := make([]map[string]TokenLoad, daemons)
			for d, b := range r.balancers {
				before[d] = b.OwnTokens()
			}
			placedBefore := r.placed
			now := clock.Millis(1_400) + reportLifetime
			for range 100 {
				for d := range daemons {
					r.arrive(d, Prompt{Tokens: tokens}, 100_000, now)
				}
			}
			added := make(map[string]int)
			for d, b := range r.balancers {
				for id, load := range b.OwnTokens() {
					own := before[d][id].Total()
					more, share := load.Total()-own, (r.pool.TokenMemory-own)/daemons
					assert.Assert(t, more <= max(share, tokens), "%s: %d tokens more by one daemon, its share is %d", id, more, share)
					added[id] += more
				}
			}
			for id, more := range added {
				assert.Assert(t, more <= r.pool.TokenMemory, "%s: %d tokens more", id, more)
			}
			assert.Assert(t, r.placed > placedBefore+daemons/2, "%d placed", r.placed-placedBefore)
		})
	}
}

// TestSharedPrefixCountsOnce checks that the prefix of several requests at its preferred server
// counts once, also between daemons, and that it counts no longer than they run.
func TestSharedPrefixCountsOnce(t *testing.T) {
	v, pool := engines(1), textPool()
	b, other := countingBalancer(), countingBalancer()
	place := func(b *Balancer) Choice {
		c, result := b.Choose(v, Request{Pool: pool, Model: "m", Prompt: prompt("document", 100), Now: 1_000})
		assert.Equal(t, result, Chosen)
		return c
	}
	first, second := place(b), place(b)
	place(other)
	assert.Equal(t, b.OwnTokens()["engine-00"].Total(), 5_500+2*400)
	assert.Equal(t, b.OwnTokens()["engine-00"].Plus(other.OwnTokens()["engine-00"]).Total(), 5_500+3*400)
	b.Done(&first)
	assert.Equal(t, b.OwnTokens()["engine-00"].Total(), 5_500+400)
	b.Done(&second)
	assert.Equal(t, len(b.OwnTokens()), 0)
}

// TestTooLarge checks that a request beyond the memory of any server is told apart from one that
// has to wait, and that nothing of it applies without shared capacity.
func TestTooLarge(t *testing.T) {
	v, pool := engines(3), textPool()
	r := Request{Pool: pool, Model: "m", Prompt: Prompt{Tokens: pool.TokenMemory, MaxOutputTokens: 1}, Now: 1_000}
	_, result := countingBalancer().Choose(v, r)
	assert.Equal(t, result, TooLarge)
	off := NewBalancer()
	_, result = off.Choose(v, r)
	assert.Equal(t, result, Chosen)
	assert.Assert(t, off.OwnTokens() == nil)
	r.Prompt.MaxOutputTokens = 0
	_, result = countingBalancer().Choose(v, r)
	assert.Equal(t, result, Chosen)
}
