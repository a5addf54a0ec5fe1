// Package versionrouting chooses the server version for each request during a
// roll-out and counts the results of the attempts by version.
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
	// maxPins bounds the remembered sessions. One daemon sees some hundreds of them
	// within the session timeout.
	maxPins = 8192
	// pinGrace is how long a session stays pinned after its timeout.
	pinGrace = 1_000 * clock.Millis(1)
	// canaryDelay is the time after the order in which the new version gets no
	// requests, so that the daemons can exchange their pinned sessions first.
	canaryDelay = 1_500 * clock.Millis(1)
)

// pinKey identifies a session at a pool.
type pinKey struct {
	pool    string
	session string
}

// pin is the version on which a session last ran.
type pin struct {
	version string
	usedAt  clock.Millis
}

// Router implements relay.VersionRouter. It is safe for concurrent use.
type Router struct {
	clock          clock.Clock
	sessionTimeout clock.Millis // pause after which a session has ended
	exposedShare   float64      // largest share of a pool's requests that a bad canary may get
	pins           *container.LRU[pinKey, pin]
	// pinnedByPeer reports whether another daemon has pinned the session, given by its
	// hash, to an old version during the roll-out.
	pinnedByPeer func(orderVersion int64, session uint64) bool
	mu           sync.Mutex
	rollouts     map[string]*rolloutStats // by pool; guarded by mu
}

// rolloutStats holds the results of this daemon's attempts since a roll-out was ordered.
type rolloutStats struct {
	orderVersion int64
	plan         rollout.Plan
	stats        map[AnswerStatsKey]rollout.AnswerStats
}

// AnswerStatsKey identifies the attempts that are counted together.
type AnswerStatsKey struct {
	Pool         string `json:"p"`
	OrderVersion int64  `json:"o"` // of the roll-out
	Canary       bool   `json:"v"` // the target version; false for all other versions
	Route        string `json:"r"` // empty for the paces of all routes
}

// New returns a router. sessionTimeout is the pause after which a session has ended;
// exposedShare is the share of a pool's requests that a bad canary may get.
func New(c clock.Clock, sessionTimeout clock.Millis, exposedShare float64, pinnedByPeer func(orderVersion int64, session uint64) bool) *Router {
	return &Router{
		pinnedByPeer:   pinnedByPeer,
		clock:          c,
		sessionTimeout: sessionTimeout,
		exposedShare:   exposedShare,
		pins:           container.NewLRU[pinKey, pin](maxPins),
		rollouts:       make(map[string]*rolloutStats),
	}
}

// AllowedVersions returns a predicate of the versions that may serve the request; nil
// allows all of them. If an attempt of the request has failed, the target version is not
// allowed in the first half of a roll-out, or until it is cleared.
func (r *Router) AllowedVersions(v *fleet.View, pool, route string, q *relay.Request, failed bool) func(string) bool {
	ro, ok := v.Rollouts[pool]
	if !ok {
		return nil
	}
	isTarget := func(version string) bool { return version == ro.Target }
	isOther := func(version string) bool { return version != ro.Target }
	now := r.clock.Now()
	switch {
	case ro.Stage == fleet.RolledBack || r.isBad(ro):
		return isOther
	case ro.Stage == fleet.Completed:
		return r.ifServed(v, pool, isTarget)
	case failed && (!ro.PastHalf(now) || r.planOf(ro).Verdict == rollout.Open):
		return r.ifServed(v, pool, isOther)
	}
	if version, pinned := r.pinnedVersion(pool, q.Session, now); pinned && (!ro.PastHalf(now) || version == ro.Target) {
		return r.ifServed(v, pool, func(other string) bool { return other == version })
	}
	seed := q.Session
	if seed == "" {
		seed = q.ID
	}
	if container.UnitHash(ro.Target, seed) < r.targetShare(v, ro, route, q.Session, now) && !r.isPinnedByPeer(ro, q.Session, now) {
		return r.ifServed(v, pool, isTarget)
	}
	return r.ifServed(v, pool, isOther)
}

// OverflowVersions returns a predicate of the versions other than the target of a roll-out,
// which requests meant for the target may use; nil if the request must keep its version.
func (r *Router) OverflowVersions(v *fleet.View, pool string, q *relay.Request) func(string) bool {
	ro, ok := v.Rollouts[pool]
	if !ok || ro.Stage == fleet.Completed {
		return nil
	}
	now := r.clock.Now()
	if _, pinned := r.pinnedVersion(pool, q.Session, now); pinned {
		return nil
	}
	return r.ifServed(v, pool, func(version string) bool { return version != ro.Target })
}

// targetShare returns the share of the route's requests that the target version gets now,
// with or without a session. Until it gets all requests, that is about its share of the
// servers at most: the target's servers start one after the other, and the first of them
// would be overloaded and make the version look slow.
func (r *Router) targetShare(v *fleet.View, ro fleet.Rollout, route, session string, now clock.Millis) float64 {
	if now < ro.StartedAt+canaryDelay {
		return 0
	}
	plan, progress := r.planOf(ro), ro.Progress(now)
	if plan.HandsOver(progress) {
		return 1
	}
	switch {
	case plan.Judged || (session != "" && !ro.PastHalf(now)):
		return min(rollout.ShareAt(progress, r.exposedShare), targetServerShare(v, ro))
	case session != "":
		return min(plan.SessionShare, targetServerShare(v, ro))
	}
	return plan.ShareOf(route, min(plan.Share, targetServerShare(v, ro)))
}

// targetServerShare returns the target version's share of the pool's servers in service;
// 1 if it has none, since ifServed then allows any version.
func targetServerShare(v *fleet.View, ro fleet.Rollout) float64 {
	entries := v.Pool(ro.Pool)
	target, all := 0, 0
	for i := range entries {
		if !v.InService(&entries[i]) {
			continue
		}
		all++
		if entries[i].Version == ro.Target {
			target++
		}
	}
	if target == 0 {
		return 1
	}
	return float64(target) / float64(all)
}

// isPinnedByPeer reports whether another daemon has pinned the session to an old version.
func (r *Router) isPinnedByPeer(ro fleet.Rollout, session string, now clock.Millis) bool {
	return session != "" && !ro.PastHalf(now) && r.pinnedByPeer(ro.OrderVersion, container.Hash(session))
}

// PinnedSessions returns the hashes of the sessions that belong to the target version's
// share of a roll-out but recently ran on another version here, by OrderVersion.
// In the first half of the roll-out they stay on their version on all daemons.
func (r *Router) PinnedSessions(v *fleet.View) map[int64][]uint64 {
	now := r.clock.Now()
	pinned := make(map[int64][]uint64)
	for _, ro := range v.Rollouts {
		if ro.Stage == fleet.Completed || ro.Stage == fleet.RolledBack || ro.PastHalf(now) {
			continue
		}
		share := rollout.ShareAt(ro.Progress(now), r.exposedShare)
		r.pins.Each(func(key pinKey, p pin) bool {
			if now-p.usedAt >= r.sessionTimeout+pinGrace {
				return false
			}
			if key.pool == ro.Pool && p.version != ro.Target && container.UnitHash(ro.Target, key.session) < share {
				pinned[ro.OrderVersion] = append(pinned[ro.OrderVersion], container.Hash(key.session))
			}
			return true
		})
	}
	return pinned
}

// ifServed returns allowed, or nil if no server in service has an allowed version: any
// version is better than no answer.
func (r *Router) ifServed(v *fleet.View, pool string, allowed func(string) bool) func(string) bool {
	entries := v.Pool(pool)
	for i := range entries {
		if v.InService(&entries[i]) && allowed(entries[i].Version) {
			return allowed
		}
	}
	return nil
}

// pinnedVersion returns the version on which the session last ran, unless it has ended.
func (r *Router) pinnedVersion(pool, session string, now clock.Millis) (string, bool) {
	if session == "" {
		return "", false
	}
	p, ok := r.pins.Get(pinKey{pool, session})
	return p.version, ok && now-p.usedAt < r.sessionTimeout+pinGrace
}

// RecordPlacement pins the request's session to the version of the server.
func (r *Router) RecordPlacement(q *relay.Request, e *fleet.Entry) {
	if q.Session != "" {
		r.pins.Put(pinKey{e.Pool, q.Session}, pin{version: e.Version, usedAt: r.clock.Now()})
	}
}

// RecordSent counts a request that is sent to the server while the pool has a roll-out.
func (r *Router) RecordSent(v *fleet.View, e *fleet.Entry, route *catalog.Route) {
	r.update(v, e, route.Name, rollout.AnswerStats.WithSent)
}

// update replaces the statistics of the server's version on the route while the pool has a
// roll-out.
func (r *Router) update(v *fleet.View, e *fleet.Entry, route string, change func(rollout.AnswerStats) rollout.AnswerStats) {
	ro, ok := v.Rollouts[e.Pool]
	if !ok || ro.Stage == fleet.Completed || ro.Stage == fleet.RolledBack {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.statsFor(ro)
	key := AnswerStatsKey{Pool: e.Pool, OrderVersion: ro.OrderVersion, Canary: e.Version == ro.Target, Route: route}
	current.stats[key] = change(current.stats[key])
}

// RecordOutcome counts the outcome of an attempt while the pool has a roll-out.
func (r *Router) RecordOutcome(v *fleet.View, e *fleet.Entry, route *catalog.Route, o relay.Outcome) {
	ro, ok := v.Rollouts[e.Pool]
	isBaseline := ok && e.Version != ro.Target
	server := e.ID
	if isBaseline {
		server = "" // Only the target's servers are told apart.
	}
	// With all requests, the target's servers have another load than the baseline's had.
	handedOver := r.planOf(ro).HandsOver(ro.Progress(r.clock.Now()))
	r.update(v, e, route.Name, func(s rollout.AnswerStats) rollout.AnswerStats {
		switch {
		case o.Conclusive && o.Error:
			s = s.WithError(server)
		case o.Conclusive:
			s = s.WithAnswer(server, o.Failed)
		}
		if o.LatencyRatio > 0 {
			s = s.WithSlowness(o.LatencyRatio)
		}
		if o.Latency > 0 && (isBaseline || !handedOver) {
			s = s.WithLatency(server, o.Latency)
		}
		return s
	})
}

// RecordPace counts the pace of a stream while the pool has a roll-out. The pace depends
// on the model and the server's load, so streams of all routes are counted together.
func (r *Router) RecordPace(v *fleet.View, e *fleet.Entry, model string, requests int, pace clock.Millis) {
	r.update(v, e, "", func(s rollout.AnswerStats) rollout.AnswerStats {
		return s.WithPace(e.ID, rollout.NewPaceClass(model, requests), pace)
	})
}

// statsFor returns the statistics of the roll-out, new ones after a new order. An order
// that was renumbered keeps them. r.mu must be held.
func (r *Router) statsFor(ro fleet.Rollout) *rolloutStats {
	s, ok := r.rollouts[ro.Pool]
	if ok && ro.RenumberedFrom != 0 && s.orderVersion == ro.RenumberedFrom {
		s = s.renumbered(ro.OrderVersion)
		r.rollouts[ro.Pool] = s
	}
	if !ok || s.orderVersion != ro.OrderVersion {
		s = &rolloutStats{orderVersion: ro.OrderVersion, stats: make(map[AnswerStatsKey]rollout.AnswerStats)}
		r.rollouts[ro.Pool] = s
	}
	return s
}

// renumbered returns a copy under another version of the order.
func (s *rolloutStats) renumbered(orderVersion int64) *rolloutStats {
	n := &rolloutStats{orderVersion: orderVersion, plan: s.plan, stats: make(map[AnswerStatsKey]rollout.AnswerStats, len(s.stats))}
	for key, stats := range s.stats {
		key.OrderVersion = orderVersion
		n.stats[key] = stats
	}
	return n
}

// AnswerStats returns a copy of this daemon's statistics. They hold its verdict, so that no
// other daemon completes a version that this one has found bad.
func (r *Router) AnswerStats() map[AnswerStatsKey]rollout.AnswerStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[AnswerStatsKey]rollout.AnswerStats)
	for pool, s := range r.rollouts {
		for key, stats := range s.stats {
			all[key] = stats
		}
		if s.plan.Verdict != rollout.Open {
			key := AnswerStatsKey{Pool: pool, OrderVersion: s.orderVersion, Canary: true}
			all[key] = all[key].WithVerdict(s.plan.Verdict)
		}
	}
	return all
}

// StopCanary stops sending requests from this daemon to a canary that was found bad,
// before the roll-back is recorded in the store.
func (r *Router) StopCanary(ro fleet.Rollout) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statsFor(ro).plan.Verdict = rollout.Bad
}

// SetPlan replaces the plan by which requests are sent to a canary that isn't bad.
func (r *Router) SetPlan(ro fleet.Rollout, p rollout.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.statsFor(ro)
	p.Verdict = max(p.Verdict, s.plan.Verdict)
	s.plan = p
}

// planOf returns the plan of the roll-out; the zero plan if there is none yet.
func (r *Router) planOf(ro fleet.Rollout) rollout.Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.rollouts[ro.Pool]
	if !ok || (s.orderVersion != ro.OrderVersion && s.orderVersion != ro.RenumberedFrom) {
		return rollout.Plan{}
	}
	return s.plan
}

func (r *Router) isBad(ro fleet.Rollout) bool { return r.planOf(ro).Verdict == rollout.Bad }
