package loadbalance

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/coldstart"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// LimitKind is how a server's statement of its rate limit was understood.
type LimitKind string

// The kinds of limits. A response of one of the last two kinds changes nothing.
const (
	NoLimit        LimitKind = "none"     // the server states none
	ValidLimit     LimitKind = "valid"    // a positive number
	RaisedLimit    LimitKind = "raised"   // zero or below MinLimit, taken as MinLimit
	RepeatedLimit  LimitKind = "repeated" // several numbers; the lowest counts
	EndlessLimit   LimitKind = "endless"  // infinite, taken as none
	MalformedLimit LimitKind = "malformed"
	UnknownLimit   LimitKind = "" // the response may not be the server's
)

// Limit is the rate limit that a server states in a response. It applies to the requests
// of all daemons together.
type Limit struct {
	Kind      LimitKind
	PerSecond float64 // 0 unless the server is limited
}

// LimitReport is a server's statement of its rate limit, as reported between daemons.
type LimitReport struct {
	ID        string       `json:"i"`
	StartedAt int64        `json:"s"` // see fleet.Server; 0 if unknown
	PerSecond float64      `json:"p"` // 0 if the server states no limit
	Age       clock.Millis `json:"a"` // of the statement
	ValueAge  clock.Millis `json:"v"` // since the server first stated the value
}

const (
	// MinLimit is the lowest rate that is used. A limited server must get a request from
	// time to time: only its response shows that the limit has ended.
	MinLimit = 0.05
	// limitBurstBase plus limitBurstSeconds times the rate is the burst that all daemons
	// together may send.
	limitBurstBase    = 2.0
	limitBurstSeconds = 0.3
	// limitReportLifetime is the age from which on a peer's report is ignored. The end of a
	// limit is remembered for longer, so that no older report renews the limit.
	limitReportLifetime = 60_000 * clock.Millis(1)
	endedLimitMemory    = 2 * limitReportLifetime
	// maxLimitReports bounds the size of a report. The latest changes are kept.
	maxLimitReports = 128
	// maxLendWait is the longest time after which a daemon asks again for a token.
	maxLendWait = 10_000 * clock.Millis(1)
	// borrowedLifetime is how long a borrowed token can be used.
	borrowedLifetime = 1_000 * clock.Millis(1)
)

// serverLimit is what is known of the rate limit of one start of a server.
type serverLimit struct {
	startedAt int64   // 0 if unknown
	perSecond float64 // 0 if the server states no limit
	ownKind   LimitKind
	// statedAt is the time by which statements are ordered; see apply.
	statedAt  clock.Millis
	changedAt clock.Millis // when the value became known
	inViewAt  clock.Millis // when the view last had the server
	bucket    tokenBucket  // of this daemon's share

	borrowed      int // tokens from other daemons
	borrowedUntil clock.Millis
	lendTurn      clock.Millis // when the last daemon that was refused a token asks again
}

// serverLimits are the rate limits by server ID. The rate and the burst of a server are
// divided among the daemons, so that they hold without any message between them; a daemon
// that has no token can borrow one.
type serverLimits struct {
	servers map[string]*serverLimit
	members limitMembers
}

// record returns the record of the server for a change. It returns nil if it is of a later
// start of the server than the given one.
func (s *serverLimits) record(id string, startedAt int64, now clock.Millis) *serverLimit {
	l := s.servers[id]
	switch {
	case l == nil || (l.startedAt > 0 && startedAt > l.startedAt):
		l = &serverLimit{startedAt: startedAt, inViewAt: now, ownKind: NoLimit}
		s.servers[id] = l
	case startedAt > 0 && startedAt < l.startedAt:
		return nil
	case l.startedAt == 0:
		l.startedAt = startedAt
	}
	return l
}

// of returns the limit in force at the server; nil if there is none.
func (s *serverLimits) of(e *fleet.Entry) *serverLimit {
	if len(s.servers) == 0 {
		return nil
	}
	l := s.servers[e.ID]
	if l == nil || l.perSecond == 0 || (l.startedAt > 0 && e.StartedAt > l.startedAt) {
		return nil
	}
	return l
}

// apply applies a statement. The newest one counts. at is the latest time at which a limit
// can have been stated, and the earliest time at which its absence can, so that an answer
// that was late never ends a limit.
func (l *serverLimit) apply(perSecond float64, at, changedAt clock.Millis) {
	if at < l.statedAt || (at == l.statedAt && perSecond == 0) {
		return
	}
	l.statedAt = at
	if perSecond != l.perSecond {
		l.perSecond, l.changedAt = perSecond, changedAt
	}
	if perSecond == 0 {
		l.bucket, l.borrowed = tokenBucket{}, 0
	}
}

// share returns the part of the limit that this daemon may use.
func (s *serverLimits) share(id string, l *serverLimit) rateLimit {
	burst := limitBurst(l.perSecond)
	own := float64(s.members.slots(id, burst))
	return rateLimit{perSecond: l.perSecond * s.members.usableShare() * own / float64(burst), burst: own}
}

// limitBurst returns the number of tokens of a server's burst, at least two.
func limitBurst(perSecond float64) int { return int(limitBurstBase + limitBurstSeconds*perSecond) }

// ready reports whether this daemon has a token for the server.
func (s *serverLimits) ready(id string, l *serverLimit, now clock.Millis) bool {
	return (l.borrowed > 0 && now < l.borrowedUntil) || l.bucket.ready(s.share(id, l), now)
}

// blocks reports whether a limit keeps this daemon from sending a request to the server.
func (s *serverLimits) blocks(e *fleet.Entry, now clock.Millis) bool {
	l := s.of(e)
	return l != nil && !s.ready(e.ID, l, now)
}

// take consumes a token and returns false if there is none.
func (s *serverLimits) take(id string, l *serverLimit, now clock.Millis) bool {
	if l.borrowed > 0 && now < l.borrowedUntil {
		l.borrowed--
		return true
	}
	l.borrowed = 0
	return l.bucket.take(s.share(id, l), now)
}

// prune forgets limits that ended long ago and servers that the view lost.
func (s *serverLimits) prune(inView func(id string) bool, now clock.Millis) {
	maps.DeleteFunc(s.servers, func(id string, l *serverLimit) bool {
		if inView(id) {
			l.inViewAt = now
		}
		return now-l.inViewAt > limitReportLifetime || (l.perSecond == 0 && now-l.statedAt > endedLimitMemory)
	})
}

// RecordLimit records the limit that a server states in a response to a request that was
// sent at the given time. It reports whether the statement is news to this daemon.
func (b *Balancer) RecordLimit(e *fleet.Entry, limit Limit, sentAt, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit.Kind == UnknownLimit || (limit.Kind == NoLimit && b.limits.servers[e.ID] == nil) {
		return false
	}
	l := b.limits.record(e.ID, e.StartedAt, now)
	if l == nil {
		return false
	}
	before, kind := l.perSecond, l.ownKind
	l.ownKind = limit.Kind
	switch {
	case limit.Kind == MalformedLimit:
	case limit.PerSecond > 0:
		l.apply(limit.PerSecond, now, now)
	default:
		l.apply(0, sentAt, now)
	}
	return kind != l.ownKind || before != l.perSecond
}

// OwnLimits returns the statements that this daemon knows, from responses and from peers,
// the latest changes first, and whether it shares any limit.
func (b *Balancer) OwnLimits(now clock.Millis) (reports []LimitReport, shares bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.limits.servers {
		if age := now - l.statedAt; l.statedAt > 0 && age < limitReportLifetime {
			reports = append(reports, LimitReport{ID: id, StartedAt: l.startedAt, PerSecond: l.perSecond, Age: age, ValueAge: now - l.changedAt})
		}
	}
	return LatestLimits(reports), len(b.limits.servers) > 0
}

// LatestLimits sorts the reports by the age of their values and returns the first ones.
func LatestLimits(reports []LimitReport) []LimitReport {
	slices.SortFunc(reports, func(a, b LimitReport) int {
		return cmp.Or(cmp.Compare(a.ValueAge, b.ValueAge), cmp.Compare(a.ID, b.ID))
	})
	return reports[:min(len(reports), maxLimitReports)]
}

// LimitPeers is what the other daemons report about rate limits.
type LimitPeers struct {
	Reports []LimitReport
	Members []uint32 // the daemons that share the limits; see MemberID
}

// SetLimitPeers records the statements that other daemons report, and divides the limits
// among the daemons that share them. hosts are those of all daemons, and self this one's.
func (b *Balancer) SetLimitPeers(peers LimitPeers, hosts []string, self string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range peers.Reports {
		if r.Age >= limitReportLifetime {
			continue
		}
		if l := b.limits.record(r.ID, r.StartedAt, now); l != nil {
			l.apply(r.PerSecond, now-r.Age, now-r.ValueAge)
		}
	}
	b.limits.members.update(hosts, self, peers.Members, len(b.limits.servers) > 0, now)
}

// LimitOwners returns the hosts whose daemons have a share of the server's limit; none if
// it has no limit.
func (b *Balancer) LimitOwners(e *fleet.Entry) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.limits.of(e)
	if l == nil {
		return nil
	}
	return coldstart.Owners(e.ID, limitBurst(l.perSecond), b.limits.members.sharing)
}

// LendToken takes a token of this daemon's share for another daemon. If there is none, it
// returns when to ask again: daemons ask one after the other, twice as often as there are
// tokens.
func (b *Balancer) LendToken(id string, startedAt int64, now clock.Millis) (lent bool, wait clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.limits.servers[id]
	if l == nil || l.perSecond == 0 || l.startedAt != startedAt {
		return false, maxLendWait
	}
	share := b.limits.share(id, l)
	if l.bucket.take(share, now) {
		return true, 0
	}
	if share.perSecond <= 0 {
		return false, maxLendWait
	}
	turn := max(l.lendTurn, now) + clock.Millis(500/share.perSecond)
	if turn-now > maxLendWait {
		return false, maxLendWait
	}
	l.lendTurn = turn
	return false, turn - now
}

// ReceiveToken adds a token that another daemon lent. It lapses unless it is used soon.
func (b *Balancer) ReceiveToken(id string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.limits.servers[id]
	if l == nil || l.perSecond == 0 {
		return
	}
	if now >= l.borrowedUntil {
		l.borrowed = 0
	}
	l.borrowed, l.borrowedUntil = l.borrowed+1, now+borrowedLifetime
}

// LimitedServers returns the number of servers in the view that are limited.
func (b *Balancer) LimitedServers(v *fleet.View) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.limits.servers {
		if e, known := v.Server(id); known && b.limits.of(&e) != nil {
			n++
		}
	}
	return n
}
