// Package versionrouting chooses the version of a pool's servers for each request while a
// roll-out is under way, and counts how the versions' answers turn out.
package versionrouting

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
)

const (
	// pinLimit bounds the sessions remembered; one daemon sees some hundreds in
	// the time that a session lasts.
	pinLimit = 8192
	// pinSlack is how much longer than a session lasts its version is kept.
	pinSlack = 1_000 * clock.Millis(1)
	// trialDelay is how long after the order the new version gets nothing: the
	// daemons tell each other meanwhile which sessions keep their version.
	trialDelay = 1_500 * clock.Millis(1)
)

// pinKey is a session at a pool.
type pinKey struct {
	pool    string
	session string
}

// pin is the version on which a session last ran.
type pin struct {
	version string
	at      clock.Millis
}

// Router implements relay.Router. It is safe for concurrent use.
type Router struct {
	clock   clock.Clock
	session clock.Millis // pause after which a session is over
	exposed float64      // share of requests that a bad version may get
	pins    *container.LRU[pinKey, pin]
	// keptElsewhere tells whether another daemon keeps the session, by its hash,
	// on an old version during the roll-out.
	keptElsewhere func(order int64, session uint64) bool
	mu            sync.Mutex
	evidence      map[string]*evidence // by pool
}

// evidence is what this daemon has seen since a pool's roll-out was ordered.
type evidence struct {
	order   int64
	bad     bool // the version on trial was found bad
	tallies map[AnswerStatsKey]rollout.AnswerStats
}

// AnswerStatsKey is what a tally is about.
type AnswerStatsKey struct {
	Pool         string `json:"p"`
	OrderVersion int64  `json:"o"` // of the roll-out
	Canary       bool   `json:"v"` // the version on trial, else the others
	Route        string `json:"r"`
}

// New returns a steer for sessions that last until a pause of the given length,
// and for versions on trial that may get the share of a pool's requests.
func New(c clock.Clock, session clock.Millis, exposed float64, keptElsewhere func(order int64, session uint64) bool) *Router {
	return &Router{
		keptElsewhere: keptElsewhere,
		clock:         c,
		session:       session,
		exposed:       exposed,
		pins:          container.NewLRU[pinKey, pin](pinLimit),
		evidence:      make(map[string]*evidence),
	}
}

// AllowedVersions returns which versions the request may run on; nil allows all.
func (s *Router) AllowedVersions(v *fleet.View, pool string, q *relay.Request, failed bool) func(string) bool {
	r, ok := v.Rollouts[pool]
	if !ok {
		return nil
	}
	trial := func(version string) bool { return version == r.Target }
	rest := func(version string) bool { return version != r.Target }
	now := s.clock.Now()
	switch {
	case r.Stage == fleet.RolledBack || s.isBad(r):
		return rest
	case r.Stage == fleet.Completed:
		return s.ifServed(v, pool, trial)
	case failed && !r.PastHalf(now):
		return s.ifServed(v, pool, rest)
	}
	if version, pinned := s.pinned(pool, q.Session, now); pinned && (!r.PastHalf(now) || version == r.Target) {
		return s.ifServed(v, pool, func(other string) bool { return other == version })
	}
	seed := q.Session
	if seed == "" {
		seed = q.ID
	}
	if container.Point(r.Target, seed) < s.share(r, now) && !s.isKeptElsewhere(r, q.Session, now) {
		return s.ifServed(v, pool, trial)
	}
	return s.ifServed(v, pool, rest)
}

// share returns the new version's share of requests at that instant.
func (s *Router) share(r fleet.Rollout, now clock.Millis) float64 {
	if now < r.StartedAt+trialDelay {
		return 0
	}
	return rollout.ShareAt(r.Progress(now), s.exposed)
}

// isKeptElsewhere tells whether another daemon has the session on an old version.
func (s *Router) isKeptElsewhere(r fleet.Rollout, session string, now clock.Millis) bool {
	return session != "" && !r.PastHalf(now) && s.keptElsewhere(r.OrderVersion, container.Hash(session))
}

// PinnedSessions returns the sessions that are due for the new version of some roll-out but
// ran lately on another one here, as hashes, by the order of the roll-out. They
// keep their version in the first half, on other daemons too.
func (s *Router) PinnedSessions(v *fleet.View) map[int64][]uint64 {
	now := s.clock.Now()
	kept := make(map[int64][]uint64)
	for _, r := range v.Rollouts {
		if r.Stage == fleet.Completed || r.Stage == fleet.RolledBack || r.PastHalf(now) {
			continue
		}
		due := rollout.ShareAt(r.Progress(now), s.exposed)
		s.pins.Each(func(key pinKey, p pin) bool {
			if now-p.at >= s.session+pinSlack {
				return false
			}
			if key.pool == r.Pool && p.version != r.Target && container.Point(r.Target, key.session) < due {
				kept[r.OrderVersion] = append(kept[r.OrderVersion], container.Hash(key.session))
			}
			return true
		})
	}
	return kept
}

// ifServed returns the choice of versions, or nil where no server in service has
// one of them: being served counts for more than the version.
func (s *Router) ifServed(v *fleet.View, pool string, versions func(string) bool) func(string) bool {
	entries := v.Pool(pool)
	for i := range entries {
		if v.InService(&entries[i]) && versions(entries[i].Version) {
			return versions
		}
	}
	return nil
}

func (s *Router) pinned(pool, session string, now clock.Millis) (string, bool) {
	if session == "" {
		return "", false
	}
	p, ok := s.pins.Get(pinKey{pool, session})
	return p.version, ok && now-p.at < s.session+pinSlack
}

// RecordPlacement records on which server a request runs.
func (s *Router) RecordPlacement(q *relay.Request, e *fleet.Entry) {
	if q.Session != "" {
		s.pins.Put(pinKey{e.Pool, q.Session}, pin{version: e.Version, at: s.clock.Now()})
	}
}

// RecordOutcome counts how an attempt ended.
func (s *Router) RecordOutcome(v *fleet.View, e *fleet.Entry, route *catalog.Route, o relay.Outcome) {
	r, ok := v.Rollouts[e.Pool]
	if !ok || r.Stage == fleet.Completed || r.Stage == fleet.RolledBack {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.of(r)
	subject := AnswerStatsKey{Pool: e.Pool, OrderVersion: r.OrderVersion, Canary: e.Version == r.Target, Route: route.Name}
	t := known.tallies[subject]
	if o.Conclusive {
		t = t.WithAnswer(e.ID, o.Failed)
	}
	if o.LatencyRatio > 0 {
		t = t.WithSlowness(o.LatencyRatio)
	}
	known.tallies[subject] = t
}

// of returns the evidence for the roll-out. The lock must be held.
func (s *Router) of(r fleet.Rollout) *evidence {
	e, ok := s.evidence[r.Pool]
	if !ok || e.order != r.OrderVersion {
		e = &evidence{order: r.OrderVersion, tallies: make(map[AnswerStatsKey]rollout.AnswerStats)}
		s.evidence[r.Pool] = e
	}
	return e
}

// AnswerStats returns a copy of what this daemon has counted.
func (s *Router) AnswerStats() map[AnswerStatsKey]rollout.AnswerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[AnswerStatsKey]rollout.AnswerStats)
	for _, e := range s.evidence {
		for subject, t := range e.tallies {
			all[subject] = t
		}
	}
	return all
}

// StopCanary ends the canary of a version that was found bad: it gets no more requests
// from this daemon, ahead of the recorded decision.
func (s *Router) StopCanary(r fleet.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(r).bad = true
}

func (s *Router) isBad(r fleet.Rollout) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.evidence[r.Pool]
	return ok && e.order == r.OrderVersion && e.bad
}
