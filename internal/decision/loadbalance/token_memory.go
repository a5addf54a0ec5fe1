package loadbalance

import (
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// A model engine keeps the tokens of the requests that it holds in its memory, and crashes if
// they don't fit. Cached prefixes that no request uses are evicted and don't count.
//
// Load pattern: many long prompts at one server, from many daemons that learn of each other's
// requests by reports.

const (
	// tokenReportLag is the time after which a request that was started is in the reports of
	// all daemons: a period of 400 ms each for its daemon, its data centre and the other one.
	tokenReportLag = 1_200 * clock.Millis(1)
	// competitorsFactor times the requests that the other daemons are expected to start at a
	// server within tokenReportLag, plus competitorsExtra, is how many this daemon allows for:
	// three standard deviations of a few random arrivals.
	competitorsFactor = 3.0
	competitorsExtra  = 3.0
)

// TokenLoad is the tokens of the requests in flight at one server, prompts and expected output.
type TokenLoad struct {
	Private int
	Shared  map[uint32]int // tokens of shared prefixes by TokenPrefix, each counted once
}

// Total returns all tokens.
func (l TokenLoad) Total() int {
	total := l.Private
	for _, tokens := range l.Shared {
		total += tokens
	}
	return total
}

// Plus returns the load of the requests of both. A prefix in both is counted once.
func (l TokenLoad) Plus(o TokenLoad) TokenLoad {
	sum := TokenLoad{Private: l.Private + o.Private}
	if len(l.Shared)+len(o.Shared) > 0 {
		sum.Shared = make(map[uint32]int, len(l.Shared)+len(o.Shared))
	}
	for _, shared := range []map[uint32]int{l.Shared, o.Shared} {
		for prefix, tokens := range shared {
			sum.Shared[prefix] = max(sum.Shared[prefix], tokens)
		}
	}
	return sum
}

// TokenPrefix returns the short hash that identifies the prefix among those in use at a server.
func (p Prefix) TokenPrefix() uint32 { return uint32(p.Hash >> 32) }

// tokenNeed is what a request needs of a server's token memory. The zero value needs nothing.
type tokenNeed struct {
	private  int
	prefix   uint32
	shared   int      // tokens of the prefix
	cachedAt []string // IDs of the servers at which the prefix is shared
	// competitors is how many other requests may be started at a server within
	// tokenReportLag, if the other daemons get as many as this one.
	competitors int
	// steady reports that requests arrived throughout the interval before, so that
	// competitors isn't the beginning of a rise.
	steady bool
}

func (n tokenNeed) total() int { return n.private + n.shared }

// at returns the need at the server: the prefix is private at servers that don't share it.
func (n tokenNeed) at(server string) tokenNeed {
	if n.shared > 0 && !slices.Contains(n.cachedAt, server) {
		n.private, n.shared = n.total(), 0
	}
	return n
}

// tokenMemory holds the tokens in flight at the servers, from this daemon and the others.
type tokenMemory struct {
	own     map[string]*ownTokens // by server ID
	arrived map[string]*arrivals  // by pool
	peers   map[string]TokenLoad  // by server ID
	peersAt clock.Millis          // of the peers' last report
	known   bool                  // there was one
}

// ownTokens are the tokens of this daemon's requests at a server.
type ownTokens struct {
	private int
	shared  map[uint32]sharedPrefix
	started []startedTokens // within tokenReportLag

	alone bool // base is set: the peers' reports are missing
	base  int  // tokens when they began to be missing, without those that ended since
}

type sharedPrefix struct{ requests, tokens int }

type startedTokens struct {
	at     clock.Millis
	tokens int
}

// arrivals counts the requests that looked for a server in the current interval of
// tokenReportLag and in those before. A request that looks again counts once.
type arrivals struct {
	interval int64
	current  map[uint64]bool // by Request.Salt
	last     int
	before   int // in the interval before the last
}

// add counts a request, and returns how many came within about tokenReportLag.
func (a *arrivals) add(salt uint64, now clock.Millis) int {
	if interval := int64(now / tokenReportLag); interval != a.interval {
		a.before, a.last = a.last, len(a.current)
		if interval != a.interval+1 {
			a.before, a.last = 0, 0
		}
		a.interval = interval
		clear(a.current)
	}
	a.current[salt] = true
	return max(len(a.current), a.last)
}

func newTokenMemory() tokenMemory {
	return tokenMemory{own: make(map[string]*ownTokens), arrived: make(map[string]*arrivals)}
}

// tokenNeed returns what the request needs; nothing if token memory isn't counted.
func (b *Balancer) tokenNeed(r *Request, entries []fleet.Entry, preferred []int) tokenNeed {
	if !b.features.SharedCapacity || !r.Pool.HasEngines() {
		return tokenNeed{}
	}
	need := tokenNeed{private: r.Prompt.Tokens + r.Prompt.MaxOutputTokens}
	if len(preferred) > 0 {
		longest := b.prefixBuf[len(b.prefixBuf)-1]
		need.prefix, need.shared = longest.TokenPrefix(), min(longest.Tokens, r.Prompt.Tokens)
		need.private -= need.shared
		for _, i := range preferred {
			need.cachedAt = append(need.cachedAt, entries[i].ID)
		}
	}
	arrived := b.tokens.arrived[r.Pool.Name]
	if arrived == nil {
		arrived = &arrivals{current: make(map[uint64]bool)}
		b.tokens.arrived[r.Pool.Name] = arrived
	}
	perServer := float64(arrived.add(r.Salt, r.Now)) / float64(max(len(entries), 1))
	need.steady = arrived.before > 0 && len(arrived.current) <= max(arrived.last, arrived.before)
	need.competitors = int(competitorsFactor*perServer*float64(len(r.Hosts)) + competitorsExtra)
	return need
}

// exceeds reports whether no server of the pool can hold the request.
func (n tokenNeed) exceeds(pool *catalog.Pool) bool { return n.total() > pool.TokenMemory }

// load returns the tokens as they are reported.
func (o *ownTokens) load() TokenLoad {
	l := TokenLoad{Private: o.private}
	if len(o.shared) > 0 {
		l.Shared = make(map[uint32]int, len(o.shared))
		for prefix, s := range o.shared {
			l.Shared[prefix] = s.tokens
		}
	}
	return l
}

func (o *ownTokens) total() int {
	total := o.private
	for _, s := range o.shared {
		total += s.tokens
	}
	return total
}

// totalWith returns all tokens of this daemon and the peers. A prefix of both counts once.
func (o *ownTokens) totalWith(peers TokenLoad) int {
	total := o.private + peers.Total()
	for prefix, s := range o.shared {
		total += max(s.tokens-peers.Shared[prefix], 0)
	}
	return total
}

// startedSince returns the tokens that were started after the time and forgets older ones.
func (o *ownTokens) startedSince(since clock.Millis) int {
	n := 0
	for n < len(o.started) && o.started[n].at <= since {
		n++
	}
	o.started = o.started[n:]
	sum := 0
	for _, s := range o.started {
		sum += s.tokens
	}
	return sum
}

// start counts the need at the server until done, and returns it as counted.
func (t *tokenMemory) start(server string, need tokenNeed, now clock.Millis) tokenNeed {
	need = need.at(server)
	if need.total() == 0 {
		return need
	}
	o := t.own[server]
	if o == nil {
		// Until fits finds that the peers' tokens are known, nothing was in use before.
		o = &ownTokens{shared: make(map[uint32]sharedPrefix), alone: true}
		t.own[server] = o
	}
	before := o.total()
	o.private += need.private
	if need.shared > 0 {
		s := o.shared[need.prefix]
		o.shared[need.prefix] = sharedPrefix{s.requests + 1, max(s.tokens, need.shared)}
	}
	o.startedSince(now - tokenReportLag)
	o.started = append(o.started, startedTokens{now, o.total() - before})
	return need
}

// done ends what start has counted.
func (t *tokenMemory) done(server string, need tokenNeed) {
	o := t.own[server]
	if need.total() == 0 || o == nil {
		return
	}
	o.private -= need.private
	if need.shared > 0 {
		s := o.shared[need.prefix]
		if s.requests--; s.requests > 0 {
			o.shared[need.prefix] = s
		} else {
			delete(o.shared, need.prefix)
		}
	}
	total := o.total()
	o.base = min(o.base, total)
	if total == 0 {
		delete(t.own, server)
	}
}

// fits reports whether the server has memory for the request. What is known never exceeds
// the memory; see rankFits for what isn't known yet.
func (t *tokenMemory) fits(server string, r *Request) bool {
	need := r.tokens.at(server)
	if need.total() == 0 {
		return true
	}
	o, memory := t.own[server], r.Pool.TokenMemory
	if o == nil {
		o = &ownTokens{}
	}
	if len(r.Hosts) > 1 && (!t.known || r.Now-t.peersAt >= reportLifetime) {
		return o.fitsAlone(server, r, need.total(), memory)
	}
	o.alone = false
	peers := t.peers[server]
	used, added := o.totalWith(peers), need.total()
	if need.shared > 0 && max(o.shared[need.prefix].tokens, peers.Shared[need.prefix]) > 0 {
		added = need.private
	}
	recent, competitors := min(o.startedSince(r.Now-tokenReportLag), o.total()), len(r.Hosts)
	if len(o.started) == 0 || (len(o.started) == 1 && need.steady) {
		competitors = min(need.competitors, competitors)
	}
	return r.rankFits(server, recent+added, memory-used+recent, competitors)
}

// rankFits reports whether this daemon may have started the tokens at the server within
// tokenReportLag, if that many remain there without them.
//
// The daemons are ranked for each server by rendezvous hash, and the nth may start 1/n of what
// remains, divided by 1 + 1/2 + ... + 1/daemons: all of them together, without knowing of each
// other, start no more than what remains. A daemon that has started none there lately, or one
// while arrivals are steady, and that expects few competitors may ignore its rank, so that a
// server isn't closed to most daemons on a calm day.
func (r *Request) rankFits(server string, tokens, remaining, competitors int) bool {
	hosts := max(len(r.Hosts), 1)
	if hosts == 1 {
		return tokens <= remaining
	}
	if competitors < hosts && tokens*(competitors+1) <= remaining {
		return true
	}
	portions := float64(remaining) / (float64(tokens) * harmonic(hosts))
	return portions >= 1 && float64(r.rank(server, int(portions))+1) <= portions
}

// harmonic returns about 1 + 1/2 + ... + 1/n, not less.
func harmonic(n int) float64 { return math.Log(float64(n)) + 1/(2*float64(n)) + eulerGamma }

const eulerGamma = 0.5773

// rank returns how many daemons come before this one for the server, or limit if they are more.
func (r *Request) rank(server string, limit int) int {
	seed := container.Hash(server)
	own, rank := container.CombineHash(seed, r.Self), 0
	for _, host := range r.Hosts {
		if container.CombineHash(seed, host) > own {
			if rank++; rank >= limit {
				break
			}
		}
	}
	return rank
}

// fitsAlone is fits without the peers' reports: the daemons divide what remains above their
// own usage. Shares that are smaller than the request go to as many of the daemons as the
// request fits for, others for each server.
func (o *ownTokens) fitsAlone(server string, r *Request, need, memory int) bool {
	if !o.alone {
		o.alone, o.base = true, o.total()
	}
	remaining := memory - o.base
	shares := min(len(r.Hosts), remaining/need)
	if shares < 1 || r.rank(server, shares) >= shares {
		return false
	}
	return (o.total()-o.base+need)*shares <= remaining
}

// OwnTokens returns the tokens of this daemon's requests in flight by server ID; nil unless
// they are counted.
func (b *Balancer) OwnTokens() map[string]TokenLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.features.SharedCapacity {
		return nil
	}
	loads := make(map[string]TokenLoad, len(b.tokens.own))
	for id, o := range b.tokens.own {
		loads[id] = o.load()
	}
	return loads
}

// SetPeerTokens replaces the tokens of the other daemons' requests by server ID, of which the
// last report arrived at the time. They expire like loads.
func (b *Balancer) SetPeerTokens(loads map[string]TokenLoad, at clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.peers, b.tokens.peersAt, b.tokens.known = loads, at, true
}

// TokenMemoryUse returns the tokens in flight at the pool's servers as shares of the memory of
// one: at the fullest, and on average. ok is false if they aren't counted.
func (b *Balancer) TokenMemoryUse(v *fleet.View, pool catalog.Pool) (highest, mean float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := v.Pool(pool.Name)
	if !b.features.SharedCapacity || !pool.HasEngines() || len(entries) == 0 {
		return 0, 0, false
	}
	for i := range entries {
		load := b.tokens.peers[entries[i].ID]
		if o := b.tokens.own[entries[i].ID]; o != nil {
			load = load.Plus(o.load())
		}
		share := float64(load.Total()) / float64(pool.TokenMemory)
		highest, mean = max(highest, share), mean+share/float64(len(entries))
	}
	return highest, mean, true
}
