package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// The cost of a server is the estimated time in ms that the request, and the requests
// that run beside it, would lose if it were placed there.
const (
	// costEngineCall is the cost per in-flight request at a model engine: each slows
	// every token of the others by a few per cent.
	costEngineCall = 40.0
	// costPlainCall is the same at a plain server, which runs a few requests at once.
	costPlainCall = 4.0
	// costPrefill is the cost per 1,000 tokens of prefill, for any model. Prefill that a
	// cache could have avoided takes power and delays other requests.
	costPrefill = 300.0
	// costRemote is the cost of a server in another data centre, mostly for the traffic
	// between the data centres.
	costRemote = 8.0
	// costErrors is the cost of a server all of whose recent calls failed: about the
	// time that a retry takes.
	costErrors = 3_000.0
	// costTried ranks servers that this request was already sent to, and costEjected
	// ejected servers, behind all others.
	costTried   = 100_000.0
	costEjected = 50_000.0
	// costUnsampled ranks servers outside the request's sample behind those in it, but
	// ahead of ejected and tried ones.
	costUnsampled = 20_000.0
	// costLeaving ranks servers that announced their exit behind those outside the sample,
	// but ahead of ejected and tried ones.
	costLeaving = 30_000.0
	// costNoise is the range of a pseudo-random cost that keeps daemons with the same
	// information from choosing the same server.
	costNoise = 12.0
	// costUnusedToken is the cost of leaving a limited server's token unused for now.
	costUnusedToken = costNoise
	// cachedShare is the share of a prompt's shared prefix that the preferred server is
	// assumed to have cached.
	cachedShare = 0.85
	// engineQueue and plainQueue are the queue lengths that a server is allowed, as a
	// multiple of its slots. Plain servers finish a request in a fraction of its latency
	// target, so a short queue costs little there.
	engineQueue = 0.5
	plainQueue  = 2.0
)

// Request describes a request that needs a server.
type Request struct {
	Pool           catalog.Pool
	DataCentre     string   // of this daemon
	Self           string   // this daemon's host
	Hosts          []string // of all daemons, which share the capacity of cold servers
	Model          string
	Prompt         Prompt
	Salt           uint64                    // differs between requests
	VersionAllowed func(version string) bool // nil allows all versions
	Tried          func(id string) bool      // reports servers to use as a last resort only
	Overdraft      int                       // starts beyond the daemon's credit, with shared capacity; see startCredit
	Now            clock.Millis
}

const (
	// maxUnsampledHosts is the number of daemons up to which every server is in the
	// sample: with so few, their choices between two reports don't fill one server.
	maxUnsampledHosts = 5
	// minSample is the minimum size of a sample, on average.
	minSample = 4
)

// sampleBound returns the highest hash of request and server with which the server is
// in the request's sample.
//
// Load pattern: many daemons see a server become free or warm at the same time and
// don't see each other's choices until the next report. Choosing from a sample limits
// that server to its share of the requests in the meantime.
func (r *Request) sampleBound(servers int) uint64 {
	share := float64(maxUnsampledHosts) / float64(max(len(r.Hosts), 1))
	share = max(share, float64(minSample)/float64(max(servers, 1)))
	if share >= 1 {
		return math.MaxUint64
	}
	return uint64(share * math.MaxUint64)
}

// Result is the result of Choose.
type Result int

// The results of Choose.
const (
	Chosen      Result = iota
	NoServer           // no allowed server is in service
	Paused             // the allowed servers in service asked for a pause; see Choice.PausedUntil
	RateLimited        // the others of them have used up their rate limits; see Choice.Limited
	AtCapacity         // the allowed servers in service have no free capacity
)

// Choice is the server chosen for a request. It holds a slot there until Done.
type Choice struct {
	Server        fleet.Entry
	PrefillTokens int          // tokens of the prompt that the server is expected not to have cached
	PrefillTime   clock.Millis // expected time for them; 0 after PrefillDone
	// ExpectedFirstByte is the expected time to the first byte, including the prefill
	// that is pending at the server; TypicalFirstByte is the same without the server's
	// own slowness.
	ExpectedFirstByte clock.Millis
	TypicalFirstByte  clock.Millis
	// HasEstimate reports whether the times are based on measurements rather than
	// defaults.
	HasEstimate bool
	// LastResort reports that every allowed server with free capacity is ejected or was
	// already tried.
	LastResort bool
	// PausedUntil is the earliest end of the servers' pauses if the result is Paused.
	PausedUntil clock.Millis
	// Limited are some servers that only their rate limits exclude, if no server was chosen.
	Limited []fleet.Entry

	usesColdToken  bool // the choice took a token of a cold server's bucket
	usesLimitToken bool // the choice took a token of a limited server
}

// Choose returns the server with the lowest cost for the request and counts the
// request as in flight there until Done.
//
// Load pattern: many daemons with the same outdated load reports, a few shared prompts
// with an expensive prefill, and prompt lengths that differ a hundredfold. The pending
// prefill of a server dominates its cost, so long prompts spread over the servers, and
// prompts with a shared prefix go to the server that has it cached.
func (b *Balancer) Choose(v *fleet.View, r Request) (Choice, Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := v.Pool(r.Pool.Name)
	if b.isWithheld(v, &r, entries) {
		return Choice{}, AtCapacity
	}
	b.prefixBuf = r.Prompt.Prefixes(r.Model, b.prefixBuf[:0])
	latency := b.models[modelKey{r.Pool.Name, r.Model}]
	preferred := b.preferred(v, &r, entries)
	best, lowest, result := -1, math.Inf(1), NoServer
	// By index: 0 for other servers, 1 for the preferred one.
	prefillTokens := [...]int{r.Prompt.Tokens, b.uncachedTokens(r.Prompt)}
	firstByte := [...]clock.Millis{latency.FirstByte(prefillTokens[0]), latency.FirstByte(prefillTokens[1])}
	bound := b.sampleBound(&r, len(entries))
	pausedUntil := clock.Millis(math.MaxInt64)
	for i := range entries {
		e := &entries[i]
		if !r.allows(v, e) {
			continue
		}
		n, s, limit := b.announcements.of(e), b.state(e), b.limits.of(e)
		if admission := b.admit(s, e, n, limit, &r); admission != Chosen {
			result = max(result, admission)
			if admission == Paused {
				pausedUntil = min(pausedUntil, n.pausedUntil)
			}
			continue
		}
		which := 0
		if i == preferred {
			which = 1
		}
		cost := b.cost(s, e, &r, prefillTokens[which], firstByte[which])
		cost += b.sampleCost(s, e, n, &r, i == preferred, bound)
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return Choice{PausedUntil: pausedUntil, Limited: b.limitedServers(v, entries, &r)}, result
	}
	choice := Choice{PrefillTokens: prefillTokens[0], LastResort: lowest >= costEjected}
	if best == preferred {
		choice.PrefillTokens = prefillTokens[1]
	}
	choice.PrefillTime = latency.PrefillTime(choice.PrefillTokens)
	choice.Server = entries[best]
	s := b.state(&choice.Server)
	choice.TypicalFirstByte = latency.FirstByte(choice.PrefillTokens) + s.load(r.Now).Prefill
	choice.HasEstimate = latency.weight >= minWeight
	choice.ExpectedFirstByte = clock.Millis(s.slowness(r.Now) * float64(choice.TypicalFirstByte))
	b.start(&choice, &r)
	return choice, Chosen
}

// admit returns Chosen if the server can get the request, and otherwise why it can't.
func (b *Balancer) admit(s *serverState, e *fleet.Entry, n *announcement, limit *serverLimit, r *Request) Result {
	switch {
	case b.announcements.hasDeparted(n, r.Now):
		return NoServer
	case n.isPaused(r.Now):
		return Paused
	case !b.hasCapacity(s, e, n, r):
		return AtCapacity
	case limit != nil && !b.limits.ready(e.ID, limit, r.Now):
		return RateLimited
	}
	return Chosen
}

// maxLimitedServers bounds Choice.Limited.
const maxLimitedServers = 2

// limitedServers returns some servers that only their rate limits exclude, others for each
// request.
func (b *Balancer) limitedServers(v *fleet.View, entries []fleet.Entry, r *Request) (limited []fleet.Entry) {
	if len(b.limits.servers) == 0 {
		return nil
	}
	for i := range entries {
		e := &entries[(uint64(i)+r.Salt)%uint64(len(entries))]
		if r.allows(v, e) && b.admit(b.state(e), e, b.announcements.of(e), b.limits.of(e), r) == RateLimited {
			if limited = append(limited, *e); len(limited) == maxLimitedServers {
				break
			}
		}
	}
	return limited
}

// start counts the request as in flight at the chosen server.
func (b *Balancer) start(c *Choice, r *Request) {
	s := b.state(&c.Server)
	if s.isCold(&c.Server, &r.Pool, r.Now) {
		c.usesColdToken = s.coldBucket.take(r.coldLimit(c.Server.ID), r.Now)
	}
	if l := b.limits.of(&c.Server); l != nil {
		c.usesLimitToken = b.limits.take(c.Server.ID, l, r.Now)
	}
	s.own.Calls++
	b.takeCredit(r.Pool.Name)
	s.own.Prefill += c.PrefillTime
}

const (
	// minRetryAfter and maxRetryAfter bound RetryAfter: free capacity is never certain,
	// and callers wait for seconds only.
	minRetryAfter = 100 * clock.Millis(1)
	maxRetryAfter = 3_000 * clock.Millis(1)
	// typicalEvents is the assumed number of events in an answer.
	typicalEvents = 30
)

// RetryAfter returns the time until a full pool is expected to have free capacity:
// when its least loaded server has finished the requests beyond its limit, at the
// typical latency of the pool.
//
// Load pattern: servers of a pool are lost or killed and their callers retry together.
// A retry that comes too early is only rejected again.
func (b *Balancer) RetryAfter(v *fleet.View, pool catalog.Pool, model string, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	latency := b.models[modelKey{pool.Name, model}]
	requestMs := float64(latency.FirstByte(0))
	if pool.HasEngines() {
		requestMs += typicalEvents * latency.InterEventMs()
	}
	entries := v.Pool(pool.Name)
	wait := maxRetryAfter
	for i := range entries {
		e := &entries[i]
		if !v.InService(e) {
			continue
		}
		n := b.announcements.of(e)
		if b.announcements.hasDeparted(n, now) {
			continue
		}
		if n.isPaused(now) {
			wait = min(wait, n.pausedUntil-now)
			continue
		}
		if b.limits.blocks(e, now) {
			continue
		}
		s := b.state(e)
		excess := max(float64(s.load(now).Calls)-b.maxCalls(s, e, &pool)+1, 1)
		wait = min(wait, clock.Millis(requestMs*excess/float64(s.slotsOf(e))))
	}
	return max(wait, minRetryAfter)
}

// allows reports whether the request may be sent to the server.
func (r *Request) allows(v *fleet.View, e *fleet.Entry) bool {
	return v.InService(e) && (r.VersionAllowed == nil || r.VersionAllowed(e.Version))
}

// coldLimit returns this daemon's share of the request rate of a cold server. The burst
// of all daemons together is bounded too, so where there are many daemons, only a few of
// them send to one cold server.
func (r *Request) coldLimit(server string) rateLimit {
	burst := max(int(r.Pool.ColdRate*coldBurst+coldBurstExtra), 1)
	own := float64(coldstart.Slots(server, burst, r.Hosts, r.Self))
	return rateLimit{perSecond: r.Pool.ColdRate * own / float64(burst), burst: own}
}

const (
	// The burst that all daemons together may send to a cold server beyond its rate is
	// coldBurst x the rate plus coldBurstExtra. A cold server fails when it gets more
	// than 1.5 times its rate plus five requests in a second.
	coldBurst      = 0.35
	coldBurstExtra = 3.0
)

// slotsOf returns the number of requests that the server runs at once.
func (s *serverState) slotsOf(e *fleet.Entry) int { return max(s.slots, e.Slots, 1) }

// maxCalls returns the maximum number of requests at the server, from all daemons.
func (s *serverState) maxCalls(e *fleet.Entry, pool *catalog.Pool) float64 {
	queue := plainQueue
	if pool.HasEngines() {
		queue = engineQueue
	}
	return float64(s.slotsOf(e)) * (1 + queue)
}

// hasCapacity reports whether the server can accept one more request.
func (b *Balancer) hasCapacity(s *serverState, e *fleet.Entry, n *announcement, r *Request) bool {
	limit := b.maxCalls(s, e, &r.Pool)
	if float64(s.load(r.Now).Calls) >= limit || float64(s.own.Calls) >= n.returnLimit(r, e.ID, s.slotsOf(e), limit) {
		return false
	}
	return !s.isCold(e, &r.Pool, r.Now) || s.coldBucket.ready(r.coldLimit(e.ID), r.Now)
}

// cost returns the cost of the request at the server, without costUnsampled.
func (b *Balancer) cost(s *serverState, e *fleet.Entry, r *Request, prefillTokens int, firstByte clock.Millis) float64 {
	load := s.load(r.Now)
	slots := s.slotsOf(e)
	call := costPlainCall
	if r.Pool.HasEngines() {
		call = costEngineCall
	}
	cost := call*float64(load.Calls) + costPrefill*float64(prefillTokens)/1000
	cost += s.slowness(r.Now) * float64(load.Prefill+firstByte)
	if load.Calls >= slots {
		// A queued request waits a share of the time that an answer takes.
		cost += float64(firstByte) * float64(load.Calls-slots+1) / float64(slots)
	}
	cost += costErrors * s.currentErrorRate(r.Now)
	if e.DataCentre != r.DataCentre {
		cost += costRemote
	}
	if r.Now < s.ejectedUntil {
		cost += costEjected
	}
	if r.Tried != nil && r.Tried(e.ID) {
		cost += costTried
	}
	const noiseSteps = 1024
	return cost + costNoise*float64(container.CombineHash(r.Salt, e.ID)%noiseSteps)/noiseSteps
}

// preferred returns the index of the server that all daemons prefer for the prompt's
// longest shared prefix, by rendezvous hash; -1 if the prompt shares no prefix.
func (b *Balancer) preferred(v *fleet.View, r *Request, entries []fleet.Entry) int {
	if len(b.prefixBuf) == 0 {
		return -1
	}
	prefix := b.prefixBuf[len(b.prefixBuf)-1].Hash
	best, highest := -1, uint64(0)
	for i := range entries {
		e := &entries[i]
		if !r.allows(v, e) || b.announcements.of(e).isLeaving() {
			continue
		}
		if weight := container.CombineHash(prefix, e.ID); (best < 0 || weight > highest) && !b.limits.blocks(e, r.Now) {
			best, highest = i, weight
		}
	}
	return best
}

// uncachedTokens returns the prefill tokens that remain at the preferred server.
func (b *Balancer) uncachedTokens(p Prompt) int {
	if len(b.prefixBuf) == 0 {
		return p.Tokens
	}
	shared := float64(b.prefixBuf[len(b.prefixBuf)-1].Tokens)
	return max(p.Tokens-int(shared*cachedShare), 0)
}
