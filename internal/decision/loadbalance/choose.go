package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// A server's cost is an estimate of the time, in ms, that the request and those
// beside it lose there.
const (
	// costEngineCall is what one more request at a model engine costs: a few
	// hundredths of the time of each token of those that run beside it.
	costEngineCall = 40.0
	// costPlainCall is the same at a plain server, which runs a few at once.
	costPlainCall = 4.0
	// costRead is added for each 1,000 tokens that are read though they could have
	// been kept, whatever the model: reading them takes power and delays others.
	costRead = 300.0
	// costFar is added in another data centre, mostly for the bytes between.
	costFar = 8.0
	// costFaulty is added for a server all of whose calls failed lately: about the
	// time that a repeat takes.
	costFaulty = 3_000.0
	// costTried and costBenched put servers that failed this request, or all lately,
	// behind all others.
	costTried   = 100_000.0
	costBenched = 50_000.0
	// costUnsampled puts servers outside a request's sample behind those in it, unless
	// these have failed.
	costUnsampled = 20_000.0
	// costNoise is the range of what is added by chance, so that daemons which know
	// the same don't choose the same.
	costNoise = 12.0
	// agreedShare of a prompt's shared beginning is taken as kept by the server on
	// which the daemons agree for it.
	agreedShare = 0.85
	// engineWaiting and plainWaiting x its slots are how many more requests a server
	// is sent than it runs at once. Plain servers are done with one within a
	// fraction of its aim, so a short queue there loses little.
	engineWaiting = 0.5
	plainWaiting  = 2.0
)

// Request is what needs a server.
type Request struct {
	Pool           catalog.Pool
	DataCentre     string   // of this daemon
	Self           string   // this daemon's host
	Hosts          []string // of all daemons, which share what a cold server bears
	Model          string
	Prompt         Prompt
	Salt           uint64                    // differs between requests
	VersionAllowed func(version string) bool // tells whether servers of the version may be used; nil allows all
	Tried          func(id string) bool      // tells whether a server is to be taken last
	Now            clock.Millis
}

const (
	// samplingHosts is up to how many daemons the sample holds all servers: that many
	// choices between two reports don't fill one server.
	samplingHosts = 5
	// leastSampled is how many servers a sample holds on average, at least.
	leastSampled = 4
)

// sampleBound returns the bound below which the hash of request and server must be for
// the server to be in the request's sample.
//
// Load pattern: many daemons see at once that a server has become free or warm, and
// don't see each other's choices before the next report. If each request chooses from
// a sample of the servers, the one that is free gets no more than its part meanwhile.
func (a *Request) sampleBound(servers int) uint64 {
	share := float64(samplingHosts) / float64(max(len(a.Hosts), 1))
	share = max(share, float64(leastSampled)/float64(max(servers, 1)))
	if share >= 1 {
		return math.MaxUint64
	}
	return uint64(share * math.MaxUint64)
}

// Result tells why there is no server.
type Result int

// The verdicts of a choice.
const (
	Chosen     Result = iota
	NoServer          // no server is in service
	AtCapacity        // those in service have no room
)

// Choice is a server with the place that the request has there.
type Choice struct {
	Server        fleet.Entry
	PrefillTokens int          // tokens of the prompt that the server has to read
	PrefillTime   clock.Millis // time that it takes to read them
	// ExpectedFirstByte is when the head of the answer is to be expected, after what is due
	// before it, and Usual the same at a server that isn't slower than others.
	ExpectedFirstByte clock.Millis
	TypicalFirstByte  clock.Millis
	// HasEstimate tells whether there is a pace to expect anything by.
	HasEstimate bool
}

// Choose returns the server for the request and counts the request as under way
// there until Done.
//
// Load pattern: many daemons with the same old word of the servers' loads, a
// few shared prompts that are dear to read, and prompts that differ in length a
// hundredfold. The cost is dominated by the reading that is due at a server, so
// long prompts spread and shared ones meet where they were read before.
func (b *Balancer) Choose(v *fleet.View, a Request) (Choice, Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := v.Pool(a.Pool.Name)
	b.scratch = a.Prompt.Prefixes(a.Model, b.scratch[:0])
	pace := b.paces[paceKey{a.Pool.Name, a.Model}]
	agreed := b.agreed(v, &a, entries)
	best, lowest, verdict := -1, math.Inf(1), NoServer
	unread := [...]int{a.Prompt.Tokens, b.unread(a.Prompt)}
	reading := [...]clock.Millis{pace.FirstByte(unread[0]), pace.FirstByte(unread[1])}
	bound := a.sampleBound(len(entries))
	for i := range entries {
		e := &entries[i]
		if !a.mayUse(v, e) {
			continue
		}
		s := b.state(e)
		if !b.hasRoom(s, e, &a) {
			if verdict == NoServer {
				verdict = AtCapacity
			}
			continue
		}
		which := 0
		if i == agreed {
			which = 1
		}
		cost := b.cost(s, e, &a, unread[which], reading[which])
		if i != agreed && bound < math.MaxUint64 && container.Mix(a.Salt, e.ID) > bound {
			cost += costUnsampled
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return Choice{}, verdict
	}
	choice := Choice{PrefillTokens: unread[0]}
	if best == agreed {
		choice.PrefillTokens = unread[1]
	}
	choice.PrefillTime = pace.PrefillTime(choice.PrefillTokens)
	choice.Server = entries[best]
	s := b.state(&choice.Server)
	choice.TypicalFirstByte = pace.FirstByte(choice.PrefillTokens) + s.load(a.Now).Prefill
	choice.HasEstimate = pace.weight >= leastWeight
	choice.ExpectedFirstByte = clock.Millis(s.slowness(a.Now) * float64(choice.TypicalFirstByte))
	b.place(&choice, &a)
	return choice, Chosen
}

func (b *Balancer) place(c *Choice, a *Request) {
	s := b.state(&c.Server)
	if s.isCold(&c.Server, &a.Pool, a.Now) {
		s.cold.take(a.coldPart(c.Server.ID), a.Now)
	}
	s.own.Calls++
	s.own.Prefill += c.PrefillTime
}

const (
	// soonestRoom and latestRoom bound when a caller is asked to come back: room is
	// never certain, and a caller has only seconds.
	soonestRoom = 100 * clock.Millis(1)
	latestRoom  = 3_000 * clock.Millis(1)
	// usualEvents is how long an answer is taken to be, in events.
	usualEvents = 30
)

// RetryAfter returns when a full pool may be expected to have room again: when the
// least busy server has ended what is over its bound, at the pace that is usual.
//
// Load pattern: a pool whose servers were lost or killed and whose callers come
// back together; coming back sooner only makes them refused again.
func (b *Balancer) RetryAfter(v *fleet.View, pool catalog.Pool, model string, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	pace := b.paces[paceKey{pool.Name, model}]
	each := float64(pace.FirstByte(0))
	if pool.HasEngines() {
		each += usualEvents * pace.InterEventMs()
	}
	entries := v.Pool(pool.Name)
	soonest := latestRoom
	for i := range entries {
		e := &entries[i]
		if !v.InService(e) {
			continue
		}
		s := b.state(e)
		over := max(float64(s.load(now).Calls)-s.bound(e, &pool)+1, 1)
		soonest = min(soonest, clock.Millis(each*over/float64(s.slotsOf(e))))
	}
	return max(soonest, soonestRoom)
}

func (a *Request) mayUse(v *fleet.View, e *fleet.Entry) bool {
	return v.InService(e) && (a.VersionAllowed == nil || a.VersionAllowed(e.Version))
}

// coldPart is this daemon's part of what a cold server bears. What all daemons
// may send at once is bounded too, so a server has few owners where there are many
// daemons.
func (a *Request) coldPart(server string) part {
	all := max(int(a.Pool.ColdRate*coldAtOnce+coldAtOnceSlack), 1)
	own := float64(coldstart.Slots(server, all, a.Hosts, a.Self))
	return part{perSecond: a.Pool.ColdRate * own / float64(all), atOnce: own}
}

const (
	// coldAtOnce x the rate and coldAtOnceSlack more is what all daemons together
	// may send at once, beyond the rate. Cold servers are given up to half of the
	// rate and five more before they fall over.
	coldAtOnce      = 0.35
	coldAtOnceSlack = 3.0
)

// slotsOf returns how many requests the server runs at once.
func (s *serverState) slotsOf(e *fleet.Entry) int { return max(s.slots, e.Slots, 1) }

// bound returns how many requests the server is sent at most, by all daemons.
func (s *serverState) bound(e *fleet.Entry, pool *catalog.Pool) float64 {
	waiting := plainWaiting
	if pool.HasEngines() {
		waiting = engineWaiting
	}
	return float64(s.slotsOf(e)) * (1 + waiting)
}

// hasRoom tells whether the server can take one more request.
func (b *Balancer) hasRoom(s *serverState, e *fleet.Entry, a *Request) bool {
	if float64(s.load(a.Now).Calls) >= s.bound(e, &a.Pool) {
		return false
	}
	return !s.isCold(e, &a.Pool, a.Now) || s.cold.ready(a.coldPart(e.ID), a.Now)
}

func (b *Balancer) cost(s *serverState, e *fleet.Entry, a *Request, unread int, head clock.Millis) float64 {
	load := s.load(a.Now)
	slots := s.slotsOf(e)
	call := costPlainCall
	if a.Pool.HasEngines() {
		call = costEngineCall
	}
	cost := call*float64(load.Calls) + costRead*float64(unread)/1000
	cost += s.slowness(a.Now) * float64(load.Prefill+head)
	if load.Calls >= slots {
		// What waits for a slot waits for a part of an answer's time.
		cost += float64(head) * float64(load.Calls-slots+1) / float64(slots)
	}
	cost += costFaulty * s.faults(a.Now)
	if e.DataCentre != a.DataCentre {
		cost += costFar
	}
	if a.Now < s.benchUntil {
		cost += costBenched
	}
	if a.Tried != nil && a.Tried(e.ID) {
		cost += costTried
	}
	const fine = 1024
	return cost + costNoise*float64(container.Mix(a.Salt, e.ID)%fine)/fine
}

// agreed returns the index of the server on which all daemons agree for the
// prompt's shared beginning, by rendezvous hash, or -1.
func (b *Balancer) agreed(v *fleet.View, a *Request, entries []fleet.Entry) int {
	if len(b.scratch) == 0 {
		return -1
	}
	prompt := b.scratch[len(b.scratch)-1].Hash
	best, highest := -1, uint64(0)
	for i := range entries {
		if !a.mayUse(v, &entries[i]) {
			continue
		}
		if weight := container.Mix(prompt, entries[i].ID); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// unread returns how many tokens of the prompt the agreed server is expected to read.
func (b *Balancer) unread(p Prompt) int {
	if len(b.scratch) == 0 {
		return p.Tokens
	}
	shared := float64(b.scratch[len(b.scratch)-1].Tokens)
	return max(p.Tokens-int(shared*agreedShare), 0)
}
