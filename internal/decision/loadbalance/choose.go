package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
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

	tokens tokenNeed // set by Choose
}

const (
	// maxUnsampledHosts is the number of daemons up to which every server is in the
	// sample: with so few, their choices between two reports don't fill one server.
	maxUnsampledHosts = 5
	// minSample is the minimum size of a sample, on average.
	minSample = 4
	// unevenSampleShare bounds minSample in pools of few uneven servers, as a share of them.
	unevenSampleShare = 0.4
)

// sampleBound returns the highest hash of request and server with which the server is
// in the request's sample.
//
// Load pattern: many daemons see a server become free or warm at the same time and
// don't see each other's choices until the next report. Choosing from a sample limits
// that server to its share of the requests in the meantime.
func (r *Request) sampleBound(servers int, uneven bool) uint64 {
	share := float64(maxUnsampledHosts) / float64(max(len(r.Hosts), 1))
	least := float64(minSample)
	if uneven {
		// Without samples, each of a few servers would in turn get the requests of all daemons.
		least = min(least, unevenSampleShare*float64(servers))
	}
	share = max(share, least/float64(max(servers, 1)))
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
	TooLarge           // the request exceeds the token memory of any server
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

	// Speed is what was known of the server's speed; nil unless the pool's servers are uneven.
	Speed *KnownSpeed

	unloadedFirstByte clock.Millis // expected at a typical server without pending prefill
	pendingPrefill    clock.Millis // at a typical server
	queueWait         clock.Millis // expected wait for a slot
	queued            bool         // the server had as many requests as slots
	sharesPrefix      bool         // other requests may have left a part of the prompt cached

	usesColdToken  bool // the choice took a token of a cold server's bucket
	usesLimitToken bool // the choice took a token of a limited server
	tokens         tokenNeed
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
	p := b.newPlacement(v, &r, entries)
	if r.tokens = b.tokenNeed(&r, entries, p.preferred); r.tokens.exceeds(&r.Pool) {
		return Choice{}, TooLarge
	}
	best, lowest, result := -1, math.Inf(1), NoServer
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
		cost := p.cost(i, s, e) + b.sampleCost(s, e, n, &r, p.inSample(i, e))
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return Choice{PausedUntil: pausedUntil, Limited: b.limitedServers(v, entries, &r)}, result
	}
	choice := p.choice(best, b.state(&entries[best]), &entries[best])
	choice.LastResort = lowest >= costEjected
	b.start(&choice, &r)
	if p.uneven && len(b.prefixBuf) > 0 {
		b.hot.record(b.prefixBuf[len(b.prefixBuf)-1].Hash, p.work(), r.Now)
	}
	return choice, Chosen
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
	c.tokens = b.tokens.start(c.Server.ID, r.tokens, r.Now)
	s.own.Calls++
	b.takeCredit(r.Pool.Name)
	s.own.Prefill += c.PrefillTime
}

// allows reports whether the request may be sent to the server.
func (r *Request) allows(v *fleet.View, e *fleet.Entry) bool {
	return v.InService(e) && (r.VersionAllowed == nil || r.VersionAllowed(e.Version))
}
