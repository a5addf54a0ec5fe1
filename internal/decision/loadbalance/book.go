// Package loadbalance estimates what each backend server can bear and chooses the
// one that serves a request soonest.
package loadbalance

import (
	"math"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// firstBench is for how long a server gets no work after a call failed with
	// no answer; it doubles with each further failure up to longestBench.
	firstBench   = 500 * clock.Millis(1)
	longestBench = 4_000 * clock.Millis(1)
	// reportLife is how long a server's word of its load counts.
	reportLife = 2_000 * clock.Millis(1)
	// freshReport is how long it counts for more than what the daemons tell each
	// other, which is about one exchange old.
	freshReport = 400 * clock.Millis(1)
)

// Balancer is what a daemon knows of the servers' load. It is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	servers map[string]*serverState
	paces   map[paceKey]LatencyModel
	scratch []Prefix
}

// serverState is what is known of one incarnation of a server.
type serverState struct {
	born     int64
	own      Load // of this daemon
	reported int  // requests that the server said it holds, less those of this daemon at that time
	heard    clock.Millis
	others   Load // of the other daemons, as they tell
	othersAt clock.Millis
	slots    int

	slow   float64 // logarithm of the time to the head against what is usual in the pool
	slowAt clock.Millis

	failures   int     // in a row
	faulty     float64 // share of calls that failed lately
	faultyAt   clock.Millis
	benchUntil clock.Millis
	coldUntil  clock.Millis // by the server's own answers
	cold       bucket
}

// NewBalancer returns an empty book.
func NewBalancer() *Balancer {
	return &Balancer{servers: make(map[string]*serverState), paces: make(map[paceKey]LatencyModel)}
}

func (b *Balancer) state(e *fleet.Entry) *serverState {
	s, ok := b.servers[e.ID]
	if ok && s.born == e.StartedAt {
		return s
	}
	var own Load
	if ok {
		own = s.own
	}
	s = &serverState{born: e.StartedAt, own: own, slots: e.Slots}
	b.servers[e.ID] = s
	return s
}

// Prune drops the servers that keep doesn't name.
func (b *Balancer) Prune(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.own.Calls == 0 && !keep(id) {
			delete(b.servers, id)
		}
	}
}

// load returns what the server is believed to hold. Only the daemons know how
// much is still to be read.
func (s *serverState) load(now clock.Millis) Load {
	var others Load
	if s.othersAt != 0 && now-s.othersAt < reportLife {
		others = s.others
	}
	if s.heard != 0 && (now-s.heard < freshReport || (s.othersAt == 0 && now-s.heard < reportLife)) {
		others.Calls = max(s.reported, 0)
	}
	return s.own.Plus(others)
}

// ServerReport is what the head of a server's answer says of it.
type ServerReport struct {
	HasLoad       bool
	Requests      int // requests that run or wait there
	Slots         int
	ColdRemaining clock.Millis
}

// RecordReport takes in what a server said.
func (b *Balancer) RecordReport(e *fleet.Entry, seen ServerReport, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e)
	s.failures, s.benchUntil = 0, 0
	s.noteFault(false, now)
	if seen.HasLoad {
		s.reported, s.heard, s.slots = seen.Requests-s.own.Calls, now, seen.Slots
	}
	if seen.ColdRemaining > 0 {
		s.coldUntil = now + seen.ColdRemaining
	}
}

const (
	// faultMemory is for how many calls a fault is remembered, and faultHalfLife
	// how long, so that a server which recovered is tried again.
	faultMemory   = 8
	faultHalfLife = 4_000.0 // ms
)

// negligible spares the exponentials of servers about which there is nothing to say.
const negligible = 0.01

func (s *serverState) noteFault(failed bool, now clock.Millis) {
	share := s.faults(now)
	target := 0.0
	if failed {
		target = 1
	}
	s.faulty, s.faultyAt = share+(target-share)/faultMemory, now
}

// faults returns the share of calls that failed lately.
func (s *serverState) faults(now clock.Millis) float64 {
	if s.faulty < negligible {
		return 0
	}
	return s.faulty * math.Exp2(-float64(now-s.faultyAt)/faultHalfLife)
}

const (
	// slowMemory is over how many answers a server's slowness is taken, and
	// slowHalfLife how long it is remembered.
	slowMemory   = 6
	slowHalfLife = 5_000.0 // ms
	// slowRange bounds what one answer shows, as a factor.
	slowRange = 8.0
)

// noteSlow takes in how long a head took against what is usual.
func (s *serverState) noteSlow(took, usual clock.Millis, now clock.Millis) {
	ratio := float64(max(took, 1)) / float64(max(usual, 1))
	ratio = min(max(ratio, 1/slowRange), slowRange)
	old := s.slow * math.Exp2(-float64(now-s.slowAt)/slowHalfLife)
	s.slow, s.slowAt = old+(math.Log(ratio)-old)/slowMemory, now
}

// slowness returns the factor by which the server is slower than others.
func (s *serverState) slowness(now clock.Millis) float64 {
	if math.Abs(s.slow) < negligible {
		return 1
	}
	return math.Exp(s.slow * math.Exp2(-float64(now-s.slowAt)/slowHalfLife))
}

// RecordServerError takes in that a call failed for a reason that is the server's,
// though it answers.
func (b *Balancer) RecordServerError(e *fleet.Entry, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(e).noteFault(true, now)
}

// RecordNoAnswer takes in that a call failed with no answer from the server.
func (b *Balancer) RecordNoAnswer(e *fleet.Entry, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e)
	s.noteFault(true, now)
	pause := min(firstBench<<min(s.failures, 4), longestBench)
	s.failures++
	s.benchUntil = now + pause
}

// RecordAtCapacity takes in that a server refused a call for want of room.
func (b *Balancer) RecordAtCapacity(e *fleet.Entry, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e)
	s.reported, s.heard = max(s.reported, s.slots+s.slots/2-s.own.Calls), now
}

// PrefillDone takes in that the server has read the prompt, or won't.
func (b *Balancer) PrefillDone(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(&c.Server).own.Prefill -= c.PrefillTime
	c.PrefillTime = 0
}

// Done takes in that a call has ended.
func (b *Balancer) Done(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(&c.Server)
	s.own.Prefill -= c.PrefillTime
	s.own.Calls--
	c.PrefillTime = 0
}

// SetPeerLoads takes in what the other daemons have under way, by server.
func (b *Balancer) SetPeerLoads(loads map[string]Load, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		s.others, s.othersAt = loads[id], now
	}
}

// OwnLoads returns this daemon's calls under way, by server.
func (b *Balancer) OwnLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[string]Load, len(b.servers))
	for id, s := range b.servers {
		loads[id] = s.own
	}
	return loads
}

// isCold tells whether the server bears only a little load.
func (s *serverState) isCold(e *fleet.Entry, pool *catalog.Pool, now clock.Millis) bool {
	return pool.ColdRate > 0 && now < max(e.ColdUntil, s.coldUntil)
}
