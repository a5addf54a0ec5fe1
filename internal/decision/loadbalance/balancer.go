// Package loadbalance tracks the load and health of the backend servers and
// selects the server with the lowest expected cost for each request. It serves
// program/entry; program/daemon uses package placement instead.
package loadbalance

import (
	"math"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// minEjection is how long a server is ejected after a call without an answer. It
	// doubles with each consecutive failure up to maxEjection.
	minEjection = 500 * clock.Millis(1)
	maxEjection = 4_000 * clock.Millis(1)
	// reportLifetime is the age at which a load report expires.
	reportLifetime = 2_000 * clock.Millis(1)
	// freshReport is the age up to which a server's own report takes precedence over
	// the peer reports, which are about one exchange period old.
	freshReport = 400 * clock.Millis(1)
)

// Balancer holds this daemon's knowledge of the servers' load, health and
// latency. It is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	servers map[string]*serverState
	models  map[modelKey]LatencyModel
	// modelNames are the keys of models, runTimes and decode; runTimes also has those of pools.
	modelNames map[modelKey]struct{}
	prefixBuf  []Prefix // reused by Choose

	announcements announcements
	limits        serverLimits
	returns       map[string]clock.Millis // when the last rejected caller returns, by pool; see ScheduleReturn

	tokens       tokenMemory
	features     loadfeatures.Features
	paceStatedAt map[string]clock.Millis // when a server last stated its pace, by pool

	utilisations map[string]poolUtilisation // by pool
	runTimes     map[modelKey]runTime       // with an empty model: of all models of the pool
	peersHeardAt clock.Millis               // see SetPeersHeard
	speeds       speeds
	hot          hotPrefixes
	decode       map[modelKey]eventTimes // of pools with uneven servers
	peerReportAt clock.Millis            // of the last SetPeerLoads
	credits      map[string]*startCredit // by pool
}

// serverState is the state of one incarnation of a server.
type serverState struct {
	startedAt  int64
	own        Load // of this daemon
	otherCalls int  // of the other daemons: requests in the server's last report minus own.Calls then
	reportedAt clock.Millis
	peerLoad   Load // of the other daemons, from peer reports
	peerLoadAt clock.Millis
	slots      int

	logSlowness float64 // logarithm of the time to the first byte divided by the expected time
	slownessAt  clock.Millis

	consecutiveFailures int
	errorRate           float64 // share of recent calls that failed
	errorRateAt         clock.Millis
	ejectedUntil        clock.Millis
	coldUntil           clock.Millis // from the server's own reports
	coldBucket          tokenBucket
	speed               *serverSpeed
	lasting             float64   // see lastingSlowness; 0 for 1
	rejection           rejection // in pools whose load counts
}

// NewBalancer returns a balancer without any measurements.
func NewBalancer() *Balancer {
	return &Balancer{
		servers: make(map[string]*serverState), models: make(map[modelKey]LatencyModel), modelNames: make(map[modelKey]struct{}),
		announcements: announcements{servers: make(map[string]*announcement)},
		limits:        serverLimits{servers: make(map[string]*serverLimit), members: newLimitMembers()},
		returns:       make(map[string]clock.Millis),
		paceStatedAt:  make(map[string]clock.Millis),
		utilisations:  make(map[string]poolUtilisation),
		runTimes:      make(map[modelKey]runTime),
		speeds:        newSpeeds(),
		hot:           newHotPrefixes(),
		decode:        make(map[modelKey]eventTimes),
		credits:       make(map[string]*startCredit),
		tokens:        newTokenMemory(),
	}
}

// state returns the state of the server. A restarted server gets a new state that
// keeps only the in-flight calls of this daemon.
func (b *Balancer) state(e *fleet.Entry) *serverState {
	s, ok := b.servers[e.ID]
	if ok && s.startedAt == e.StartedAt {
		return s
	}
	var own Load
	if ok {
		own = s.own
	}
	s = &serverState{startedAt: e.StartedAt, own: own, slots: e.Slots, speed: b.speeds.of(e)}
	b.servers[e.ID] = s
	return s
}

// Retain removes the servers for which keep returns false, except those with
// in-flight calls of this daemon. The announcements of a removed server are kept for
// departureMemory.
func (b *Balancer) Retain(keep func(id string) bool, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcements.prune(keep, now)
	b.limits.prune(keep, now)
	for id, s := range b.servers {
		if s.own.Calls == 0 && !keep(id) {
			delete(b.servers, id)
			continue
		}
		s.speed.usedAt = now
	}
	b.speeds.prune(now)
}

// load returns the estimated load of the server from all daemons. The pending
// prefill is known from the daemons only: servers report just their requests.
func (s *serverState) load(now clock.Millis) Load {
	var others Load
	if s.peerLoadAt != 0 && now-s.peerLoadAt < reportLifetime {
		others = s.peerLoad
	}
	if s.reportedAt != 0 && (now-s.reportedAt < freshReport || (s.peerLoadAt == 0 && now-s.reportedAt < reportLifetime)) {
		others.Calls = max(s.otherCalls, 0)
	}
	others.Calls = max(others.Calls, s.rejection.callsAt(now))
	return s.own.Plus(others)
}

// ServerReport is the load that a server reports in its response header.
type ServerReport struct {
	HasLoad       bool // whether Requests and Slots are set
	Requests      int  // running and queued there
	Slots         int
	ColdRemaining clock.Millis
	Pace          int // see RecordPace; 0 if the server states none
}

// RecordReport records the report of a server that answered and ends its ejection.
func (b *Balancer) RecordReport(e *fleet.Entry, report ServerReport, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e)
	s.consecutiveFailures, s.ejectedUntil = 0, 0
	s.recordResult(false, now)
	if report.HasLoad {
		s.otherCalls, s.reportedAt, s.slots = report.Requests-s.own.Calls, now, report.Slots
		s.rejection = rejection{}
	}
	if report.ColdRemaining > 0 {
		s.coldUntil = now + report.ColdRemaining
	}
	if report.Pace > 0 {
		b.recordPace(e, report.Pace, now)
	}
}

const (
	// errorRateCalls is the number of calls over which the error rate is averaged.
	errorRateCalls = 8
	// errorRateHalfLifeMs makes the error rate decay over time, so that a recovered
	// server is tried again.
	errorRateHalfLifeMs = 4_000.0
)

// negligible is the value below which a moving average counts as zero, which saves
// the exponential for healthy servers.
const negligible = 0.01

func (s *serverState) recordResult(failed bool, now clock.Millis) {
	rate := s.currentErrorRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	s.errorRate, s.errorRateAt = rate+(sample-rate)/errorRateCalls, now
}

// currentErrorRate returns the decayed share of recent calls that failed.
func (s *serverState) currentErrorRate(now clock.Millis) float64 {
	if s.errorRate < negligible {
		return 0
	}
	return s.errorRate * math.Exp2(-float64(now-s.errorRateAt)/errorRateHalfLifeMs)
}

const (
	// slownessAnswers is the number of answers over which the slowness is averaged.
	slownessAnswers    = 6
	slownessHalfLifeMs = 5_000.0
	// slownessGapMs is the time without answers after which the next one of an uneven server
	// has half of the weight. With 7 daemons an answer comes every 1.2 s, with 67 every 11 s:
	// with a sixth of the weight each, a slow phase of 8 s was over before it was known.
	slownessGapMs = 1_500.0
	// maxSlowness bounds the slowness of a single answer, in both directions.
	maxSlowness = 8.0
)

// recordSlowness records a time to the first byte against the expected one.
func (s *serverState) recordSlowness(elapsed, expected clock.Millis, now clock.Millis) {
	ratio := float64(max(elapsed, 1)) / float64(max(expected, 1))
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	old := s.logSlowness * math.Exp2(-float64(now-s.slownessAt)/slownessHalfLifeMs)
	share := 1.0 / slownessAnswers
	if s.lasting != 0 {
		share = max(share, 1-math.Exp2(-float64(now-s.slownessAt)/slownessGapMs))
	}
	s.logSlowness, s.slownessAt = old+(math.Log(ratio)-old)*share, now
}

// slowness returns the factor by which the server is slower than its pool.
func (s *serverState) slowness(now clock.Millis) float64 {
	if math.Abs(s.logSlowness) < negligible {
		return 1
	}
	return math.Exp(s.logSlowness * math.Exp2(-float64(now-s.slownessAt)/slownessHalfLifeMs))
}

// RecordServerError records a failed call that the server answered, or accepted
// without answering in time. The server isn't ejected.
func (b *Balancer) RecordServerError(e *fleet.Entry, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(e).recordResult(true, now)
}

// RecordNoAnswer records a call that got no answer and ejects the server.
func (b *Balancer) RecordNoAnswer(e *fleet.Entry, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e)
	s.recordResult(true, now)
	ejection := min(minEjection<<min(s.consecutiveFailures, 4), maxEjection)
	s.consecutiveFailures++
	s.ejectedUntil = now + ejection
}

// RecordAtCapacity records that a server rejected a call because it has no free
// capacity. While that is recent, its load counts as at least one and a half times its
// slots; where the pool's load counts, that declines by and by.
func (b *Balancer) RecordAtCapacity(e *fleet.Entry, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e)
	if b.adaptsToLoad(e.Pool, now) {
		s.reject(s.slotsOf(e), now)
		return
	}
	s.otherCalls, s.reportedAt = max(s.otherCalls, s.slots+s.slots/2-s.own.Calls), now
}

// PrefillDone removes the prefill of the call from the server's pending prefill. It
// may be called repeatedly.
func (b *Balancer) PrefillDone(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(&c.Server).own.Prefill -= c.PrefillTime
	c.PrefillTime = 0
}

// Done ends the call that Choose started. Either it or Cancel must be called exactly once.
func (b *Balancer) Done(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done(c)
}

// Cancel takes back a choice whose request was not sent, in place of Done: the request
// doesn't count towards the rate of a cold or limited server.
func (b *Balancer) Cancel(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.done(c)
	if c.usesColdToken {
		s.coldBucket.giveBack()
	}
	if l := b.limits.of(&c.Server); l != nil && c.usesLimitToken {
		l.bucket.giveBack()
	}
}

// done ends the call and returns the state of its server. The caller must hold mu.
func (b *Balancer) done(c *Choice) *serverState {
	s := b.state(&c.Server)
	s.own.Prefill -= c.PrefillTime
	s.own.Calls--
	b.returnCredit(s, &c.Server)
	b.tokens.done(c.Server.ID, c.tokens)
	c.PrefillTime = 0
	return s
}

// SetPeerLoads replaces the load of the other daemons, by server ID. Servers that are
// missing in loads have none.
func (b *Balancer) SetPeerLoads(loads map[string]Load, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReportAt = now
	if len(loads) > 0 {
		b.peersHeardAt = now
	}
	if b.features.SharedCapacity && now-b.peersHeardAt >= reportLifetime {
		now = 0 // without peer reports, those of the servers count until they expire
	}
	for id, s := range b.servers {
		s.peerLoad, s.peerLoadAt = loads[id], now
	}
}

// OwnLoads returns the in-flight load of this daemon, by server ID.
func (b *Balancer) OwnLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[string]Load, len(b.servers))
	for id, s := range b.servers {
		loads[id] = s.own
	}
	return loads
}

// isCold reports whether the server is cold, which limits its request rate.
func (s *serverState) isCold(e *fleet.Entry, pool *catalog.Pool, now clock.Millis) bool {
	return pool.ColdRate > 0 && now < max(e.ColdUntil, s.coldUntil)
}
