// Package peerstats exchanges the load and the answer statistics of the daemons.
//
// In each data centre the daemons report to a leader, which replies with the total of
// all other daemons. The leaders of the data centres exchange the totals of their data
// centres. All daemons derive the leader from the list of hosts and from which of them
// respond, so any daemon can take over, and the size of a message depends neither on the
// number of daemons nor on the number of their pairs.
package peerstats

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
)

// Snapshot is the state of one daemon or the total of several.
type Snapshot struct {
	// Loads are the in-flight loads by server ID.
	Loads       loadMap            `json:"l"`
	AnswerStats []AnswerStatsEntry `json:"t,omitempty"`
	// PinnedSessions are the hashes of the sessions that stay on an old version, by the
	// order version of the roll-out.
	PinnedSessions map[int64][]uint64 `json:"k,omitempty"`
	// Departures are the servers that announced their exit to the daemons.
	Departures []loadbalance.Departure `json:"x,omitempty"`
	// Crashes are the recent crashes of servers and what may have caused them. SoundRuns are
	// the recent answers to requests with suspected parts that crashed no server.
	Crashes   []quarantine.Crash     `json:"qc,omitempty"`
	SoundRuns []quarantine.SoundRuns `json:"qs,omitempty"`
	// Limits are what servers state about their rate limits, and LimitMembers the daemons that
	// know of any; see loadbalance.MemberID.
	Limits       []loadbalance.LimitReport `json:"m,omitempty"`
	LimitMembers []uint32                  `json:"n,omitempty"`
	// Speeds are the speeds of servers in pools where they are uneven.
	Speeds []loadbalance.SpeedReport `json:"sp,omitempty"`
	// Demand is the demand for the pools, and DemandDaemons the number of daemons whose
	// demand it holds. Both are absent while the daemons don't share capacity.
	Demand        []demand.PoolUsage `json:"u,omitempty"`
	DemandDaemons int                `json:"v,omitempty"`
	// Tokens are the tokens of the requests in Loads; nil unless the daemons count them.
	Tokens *TokenReport `json:"o,omitempty"`
	// Prefixes are the shared prefixes of prompts with the most requests there.
	Prefixes []loadbalance.PrefixReport `json:"hp,omitempty"`
	// KeepSlow means that LimitMembers, Speeds and Prefixes are left out and the receiver
	// keeps those of the message before.
	KeepSlow bool `json:"z,omitempty"`
}

// maxCrashes bounds the crashes in a snapshot. The newest ones are kept.
const maxCrashes = 32

// AnswerStatsEntry is a key with its answer statistics.
type AnswerStatsEntry struct {
	Key   versionrouting.AnswerStatsKey `json:"s"`
	Stats rollout.AnswerStats           `json:"c"`
}

// Report is a report of a daemon to its leader, or between leaders.
type Report struct {
	From         string   `json:"f"` // host, or data centre if IsDataCentre
	IsDataCentre bool     `json:"d"`
	Snapshot     Snapshot `json:"r"`
}

// total is the sum of several snapshots.
type total struct {
	loads       map[string]loadbalance.Load
	answerStats map[versionrouting.AnswerStatsKey]rollout.AnswerStats
	pinned      map[int64]map[uint64]bool
	departures  map[loadbalance.Departure]bool
	crashes     map[quarantine.ServerStart]quarantine.Crash
	soundRuns   map[quarantine.Part]quarantine.SoundRuns
	limits      map[serverStart]loadbalance.LimitReport
	members     map[uint32]bool // that share the limits
	speeds      speedTotals
	prefixes    prefixTotals

	demand    demand.Sum
	demandAge clock.Millis // of the newest report in demand
	tokens    map[string]loadbalance.TokenLoad
}

// serverStart is one start of a server.
type serverStart struct {
	id        string
	startedAt int64
}

func newTotal() *total {
	return &total{
		loads:       make(map[string]loadbalance.Load),
		answerStats: make(map[versionrouting.AnswerStatsKey]rollout.AnswerStats),
		pinned:      make(map[int64]map[uint64]bool),
		departures:  make(map[loadbalance.Departure]bool),
		crashes:     make(map[quarantine.ServerStart]quarantine.Crash),
		soundRuns:   make(map[quarantine.Part]quarantine.SoundRuns),
		limits:      make(map[serverStart]loadbalance.LimitReport),
		members:     make(map[uint32]bool),
		speeds:      make(speedTotals),
		tokens:      make(map[string]loadbalance.TokenLoad),
		prefixes:    make(prefixTotals),
	}
}

// add adds a snapshot that was received that long ago, without its demand, and without its
// loads and members unless they are fresh.
func (t *total) add(s Snapshot, fresh bool, elapsed clock.Millis) {
	t.addEvidence(s, elapsed)
	t.addLimits(s.Limits, elapsed)
	t.speeds.add(s.Speeds, elapsed)
	if fresh {
		t.prefixes.add(s.Prefixes)
		for _, member := range s.LimitMembers {
			t.members[member] = true
		}
		for id, load := range s.Loads {
			t.loads[id] = t.loads[id].Plus(load)
		}
		for id, load := range s.Tokens.loads(s.Loads) {
			t.tokens[id] = t.tokens[id].Plus(load)
		}
	}
	for _, e := range s.AnswerStats {
		t.answerStats[e.Key] = t.answerStats[e.Key].Plus(e.Stats)
	}
	for _, d := range s.Departures {
		t.departures[d] = true
	}
	for order, sessions := range s.PinnedSessions {
		if t.pinned[order] == nil {
			t.pinned[order] = make(map[uint64]bool, len(sessions))
		}
		for _, session := range sessions {
			t.pinned[order][session] = true
		}
	}
}

// addDemand adds the demand of the snapshot if its daemons share capacity.
func (t *total) addDemand(s Snapshot, elapsed clock.Millis) {
	if s.DemandDaemons <= 0 {
		return
	}
	if t.demand.Daemons() == 0 || elapsed < t.demandAge {
		t.demandAge = elapsed
	}
	t.demand.Add(s.Demand, s.DemandDaemons)
}

// addEvidence adds the crashes and the sound runs of a snapshot.
func (t *total) addEvidence(s Snapshot, elapsed clock.Millis) {
	for _, c := range s.Crashes {
		c.Age += elapsed
		if other, known := t.crashes[c.Server]; known {
			c = other.Merge(c)
		}
		t.crashes[c.Server] = c
	}
	for _, r := range s.SoundRuns {
		r.Age += elapsed
		if other, known := t.soundRuns[r.Part]; known {
			r = other.Plus(r)
		}
		t.soundRuns[r.Part] = r
	}
}

// addLimits adds the statements of servers about their limits. The newest one counts.
func (t *total) addLimits(limits []loadbalance.LimitReport, elapsed clock.Millis) {
	for _, l := range limits {
		l.Age += elapsed
		l.ValueAge += elapsed
		key := serverStart{l.ID, l.StartedAt}
		if other, known := t.limits[key]; !known || l.Age < other.Age || (l.Age == other.Age && other.PerSecond == 0) {
			t.limits[key] = l
		}
	}
}

// newestCrashes returns at most maxCrashes crashes, with few suspects each if there are many.
func (t *total) newestCrashes() []quarantine.Crash {
	newest := slices.SortedFunc(maps.Values(t.crashes), func(a, b quarantine.Crash) int { return cmp.Compare(a.Age, b.Age) })
	return quarantine.LimitSuspects(newest[:min(len(newest), maxCrashes)])
}

// snapshot returns the total as a snapshot, which shares the map of loads with it.
func (t *total) snapshot() Snapshot {
	s := Snapshot{
		Loads: t.loads, Departures: slices.Collect(maps.Keys(t.departures)),
		Crashes: t.newestCrashes(), SoundRuns: slices.Collect(maps.Values(t.soundRuns)),
		Limits: loadbalance.LatestLimits(slices.Collect(maps.Values(t.limits))), LimitMembers: slices.Collect(maps.Keys(t.members)),
		Speeds: t.speeds.reports(), Prefixes: t.prefixes.reports(),
		Tokens: newTokenReport(t.loads, t.tokens),
	}
	if t.demand.Daemons() > 0 {
		s.Demand, s.DemandDaemons = t.demand.Usage(), t.demand.Daemons()
	}
	for key, stats := range t.answerStats {
		s.AnswerStats = append(s.AnswerStats, AnswerStatsEntry{key, stats})
	}
	for order, sessions := range t.pinned {
		if s.PinnedSessions == nil {
			s.PinnedSessions = make(map[int64][]uint64, len(t.pinned))
		}
		for session := range sessions {
			s.PinnedSessions[order] = append(s.PinnedSessions[order], session)
		}
	}
	return s
}
