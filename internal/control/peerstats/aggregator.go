package peerstats

import (
	"maps"
	"slices"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
)

const (
	// loadLifetime is the age at which the loads of a report expire.
	loadLifetime = 2_000 * clock.Millis(1)
	// reportLifetime is the age at which the rest of a report expires. It is longer,
	// because the statistics of a daemon that has gone stay valid.
	reportLifetime = 60_000 * clock.Millis(1)
)

// Aggregator adds up the snapshots of this daemon and its peers. It is safe for
// concurrent use.
type Aggregator struct {
	clock clock.Clock

	mu          sync.Mutex
	own         Snapshot
	ownAt       clock.Millis // when own was set; each refresh sets all of it
	ownTokens   map[string]loadbalance.TokenLoad
	hosts       map[string]received // from the daemons that report to this one
	dataCentres map[string]received // totals of other data centres
	peerTotal   *received           // of all other daemons, from this daemon's leader
	cached      *total              // of all other daemons; nil after a change
	cachedAt    clock.Millis
	hostDemand  hostDemand // of hosts
	daemons     int        // among which the bytes of reports are divided
	round       int        // the number of own reports
}

// received is a snapshot with the time at which it was received.
type received struct {
	Snapshot
	receivedAt clock.Millis
	slowAt     clock.Millis // when its slow parts were received
	round      int          // of a host: the number of reports before
}

// New returns an aggregator without any reports.
func New(c clock.Clock) *Aggregator {
	return &Aggregator{clock: c, hosts: make(map[string]received), dataCentres: make(map[string]received)}
}

// SetOwn replaces the snapshot of this daemon. Loads without calls are left out.
func (a *Aggregator) SetOwn(loads map[string]loadbalance.Load, answerStats map[versionrouting.AnswerStatsKey]rollout.AnswerStats, pinned map[int64][]uint64) {
	s := Snapshot{Loads: make(map[string]loadbalance.Load, len(loads)), PinnedSessions: pinned}
	for id, load := range loads {
		if load.Calls > 0 {
			s.Loads[id] = load
		}
	}
	for key, stats := range answerStats {
		s.AnswerStats = append(s.AnswerStats, AnswerStatsEntry{key, stats})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.Departures, s.Crashes, s.SoundRuns = a.own.Departures, a.own.Crashes, a.own.SoundRuns
	s.Limits, s.LimitMembers = a.own.Limits, a.own.LimitMembers
	s.Speeds, s.Prefixes = a.own.Speeds, a.own.Prefixes
	s.Demand, s.DemandDaemons = a.own.Demand, a.own.DemandDaemons
	a.own, a.ownAt, a.cached = s, a.clock.Now(), nil
}

// SetOwnDepartures replaces the servers that announced their exit to this daemon.
func (a *Aggregator) SetOwnDepartures(departures []loadbalance.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Departures = departures
}

// SetOwnLimits replaces what this daemon knows of servers' rate limits, and the IDs of the
// daemons that share them: its own, or none.
func (a *Aggregator) SetOwnLimits(limits []loadbalance.LimitReport, members []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Limits, a.own.LimitMembers, a.ownAt = limits, members, a.clock.Now()
}

// PeerLimits returns what the other daemons know of servers' rate limits.
func (a *Aggregator) PeerLimits() loadbalance.LimitPeers {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired()
	others := a.others()
	return loadbalance.LimitPeers{
		Reports: slices.Collect(maps.Values(others.limits)), Members: slices.Collect(maps.Keys(others.members)),
	}
}

// SetOwnDemand replaces the demand of this daemon, which its reports hold from then on.
func (a *Aggregator) SetOwnDemand(usage []demand.PoolUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Demand, a.own.DemandDaemons, a.ownAt = usage, 1, a.clock.Now()
}

// RemoveOwnDemand makes the reports of this daemon hold no demand.
func (a *Aggregator) RemoveOwnDemand() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Demand, a.own.DemandDaemons = nil, 0
}

// PeerDemand returns the demand of the other daemons, from reports that haven't expired.
func (a *Aggregator) PeerDemand() demand.PeerTotal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired()
	others := a.others()
	return demand.PeerTotal{Usage: others.demand.Usage(), Reporting: others.demand.Daemons(), Age: others.demandAge}
}

// SetOwnEvidence replaces this daemon's evidence of crashed servers.
func (a *Aggregator) SetOwnEvidence(crashes []quarantine.Crash, sound []quarantine.SoundRuns) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Crashes, a.own.SoundRuns, a.ownAt = crashes, sound, a.clock.Now()
}

// PeerEvidence returns the other daemons' evidence of crashed servers.
func (a *Aggregator) PeerEvidence() ([]quarantine.Crash, []quarantine.SoundRuns) {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := a.others()
	return slices.Collect(maps.Values(others.crashes)), slices.Collect(maps.Values(others.soundRuns))
}

// PeerDepartures returns the servers that announced their exit to other daemons.
func (a *Aggregator) PeerDepartures() []loadbalance.Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.others().departures))
}

// ownReport returns the snapshot of this daemon as the next report to its leader.
func (a *Aggregator) ownReport() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.ownSnapshot().within(a.budget(reportBytes), a.round)
	a.round++
	return s
}

// restartReports makes the next report have all parts: the last one may be lost.
func (a *Aggregator) restartReports() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.round = 0
}

// Own returns the snapshot of this daemon.
func (a *Aggregator) Own() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownSnapshot()
}

// ownSnapshot returns the snapshot of this daemon with its tokens. a.mu must be held.
func (a *Aggregator) ownSnapshot() Snapshot {
	s := a.own
	s.Tokens = newTokenReport(s.Loads, a.ownTokens)
	return s
}

// DataCentreTotal returns the total of this daemon and those that report to it.
func (a *Aggregator) DataCentreTotal() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total("", false).snapshot()
}

// total adds up this daemon's snapshot and the reports received, except that of the
// given host. allDataCentres includes the other data centres. a.mu must be held.
func (a *Aggregator) total(exceptHost string, allDataCentres bool) *total {
	t := newTotal()
	t.add(a.ownSnapshot(), true, a.clock.Now()-a.ownAt)
	a.addReports(t, exceptHost, allDataCentres)
	t.addDemand(a.own, a.clock.Now()-a.ownAt)
	return t
}

// addReports adds the reports received and deletes expired ones. a.mu must be held.
func (a *Aggregator) addReports(t *total, exceptHost string, allDataCentres bool) {
	now := a.clock.Now()
	t.demand, t.demandAge = a.hostDemand.except(exceptHost, now)
	add := func(reports map[string]received) {
		for name, r := range reports {
			if now-r.receivedAt >= reportLifetime {
				delete(reports, name)
				continue
			}
			if name != exceptHost {
				t.add(r.Snapshot, now-r.receivedAt < loadLifetime, now-r.receivedAt)
			}
		}
	}
	add(a.hosts)
	if allDataCentres {
		add(a.dataCentres)
		for _, r := range a.dataCentres {
			if now-r.receivedAt < loadLifetime {
				t.addDemand(r.Snapshot, now-r.receivedAt)
			}
		}
	}
}

// HandleReport records a report and returns the reply: the total of all other daemons
// to a daemon, or the total of this data centre to another data centre.
func (a *Aggregator) HandleReport(r Report) Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cached = nil
	report := received{Snapshot: r.Snapshot, receivedAt: a.clock.Now()}
	if r.IsDataCentre {
		a.dataCentres[r.From] = report
		return a.total("", false).snapshot()
	}
	if before, known := a.hosts[r.From]; known {
		report = report.keepSlow(&before)
		report.round = before.round + 1
	} else {
		report = report.keepSlow(nil)
	}
	a.hosts[r.From] = report
	a.hostDemand.set(r.From, report)
	return a.total(r.From, true).snapshot().within(a.budget(replyBytes), report.round)
}

// SetPeerTotal records the total of all other daemons, which is the leader's reply to a
// report of this daemon.
func (a *Aggregator) SetPeerTotal(s Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := received{Snapshot: s, receivedAt: a.clock.Now()}.keepSlow(a.peerTotal)
	a.peerTotal, a.cached = &total, nil
}

// SetDataCentreTotal records the total of another data centre.
func (a *Aggregator) SetDataCentreTotal(name string, s Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dataCentres[name], a.cached = received{Snapshot: s, receivedAt: a.clock.Now()}, nil
}

// others returns the total of all other daemons: the leader's reply while it is recent,
// otherwise the sum of the reports that this daemon received. Sessions that were pinned in
// an expired reply stay pinned. a.mu must be held.
func (a *Aggregator) others() *total {
	if a.cached != nil {
		return a.cached
	}
	now := a.clock.Now()
	t := newTotal()
	if a.peerTotal != nil && now-a.peerTotal.receivedAt < loadLifetime {
		t.add(a.peerTotal.Snapshot, true, now-a.peerTotal.receivedAt)
		t.addDemand(a.peerTotal.Snapshot, now-a.peerTotal.receivedAt)
	} else {
		a.addReports(t, "", true)
		if a.peerTotal != nil {
			t.add(Snapshot{PinnedSessions: a.peerTotal.PinnedSessions}, false, 0)
		}
	}
	a.cached, a.cachedAt = t, now
	return t
}

// totalLifetime is how long the total of the other daemons is used: within it, what expires
// counts a little longer. A refresh before a report asks for it several times.
const totalLifetime = 50 * clock.Millis(1)

// dropExpired drops the total of the other daemons if parts of it may have expired. The caller
// must hold mu.
func (a *Aggregator) dropExpired() {
	if a.clock.Now()-a.cachedAt >= totalLifetime {
		a.cached = nil
	}
}

// PeerLoads returns the in-flight load of the other daemons by server ID, from reports
// that haven't expired. Callers must not change it.
func (a *Aggregator) PeerLoads() map[string]loadbalance.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired()
	return a.others().loads
}

// CompareVersions returns the answer statistics of a roll-out from all daemons, by route.
func (a *Aggregator) CompareVersions(pool string, orderVersion int64) map[string]rollout.Comparison {
	a.mu.Lock()
	defer a.mu.Unlock()
	routes := make(map[string]rollout.Comparison)
	add := func(key versionrouting.AnswerStatsKey, stats rollout.AnswerStats) {
		if key.Pool != pool || key.OrderVersion != orderVersion {
			return
		}
		c := routes[key.Route]
		if key.Canary {
			c.Canary = c.Canary.Plus(stats)
		} else {
			c.Baseline = c.Baseline.Plus(stats)
		}
		routes[key.Route] = c
	}
	for _, e := range a.own.AnswerStats {
		add(e.Key, e.Stats)
	}
	for key, stats := range a.others().answerStats {
		add(key, stats)
	}
	return routes
}

// IsPinned reports whether another daemon has pinned the session, given by its hash, to
// an old version during the roll-out.
func (a *Aggregator) IsPinned(orderVersion int64, session uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.others().pinned[orderVersion][session]
}
