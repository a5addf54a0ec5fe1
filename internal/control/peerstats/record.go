// Package peerstats shares small facts among the daemons: what each has under way
// and what it has counted.
//
// In each data centre the daemons report to one of them, which answers with the
// sum of all others; those of the data centres give each other their sums. Which
// one it is follows from the list of hosts and from who answers, so any daemon
// can take over, and messages grow neither with the daemons nor with their pairs.
package peerstats

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
)

// Snapshot is what one daemon, or all of a group, have under way and have counted.
type Snapshot struct {
	// Loads are what is under way, by server.
	Loads       map[string]loadbalance.Load `json:"l"`
	AnswerStats []AnswerStatsEntry          `json:"t,omitempty"`
	// PinnedSessions are the sessions that keep an old version, as hashes, by the order of
	// the roll-out.
	PinnedSessions map[int64][]uint64 `json:"k,omitempty"`
}

// AnswerStatsEntry is a tally with what it is about.
type AnswerStatsEntry struct {
	Key   versionrouting.AnswerStatsKey `json:"s"`
	Stats rollout.AnswerStats           `json:"c"`
}

// Report is what a daemon tells another: of itself, or of its data centre.
type Report struct {
	From         string   `json:"f"` // host, or data centre
	IsDataCentre bool     `json:"d"`
	Snapshot     Snapshot `json:"r"`
}

// sum adds up records.
type sum struct {
	loads   map[string]loadbalance.Load
	tallies map[versionrouting.AnswerStatsKey]rollout.AnswerStats
	kept    map[int64]map[uint64]bool
}

func newSum() *sum {
	return &sum{
		loads:   make(map[string]loadbalance.Load),
		tallies: make(map[versionrouting.AnswerStatsKey]rollout.AnswerStats),
		kept:    make(map[int64]map[uint64]bool),
	}
}

// add adds a record; what is under way counts only if it is fresh.
func (s *sum) add(r Snapshot, fresh bool) {
	if fresh {
		for id, load := range r.Loads {
			s.loads[id] = s.loads[id].Plus(load)
		}
	}
	for _, c := range r.AnswerStats {
		s.tallies[c.Key] = s.tallies[c.Key].Plus(c.Stats)
	}
	for order, sessions := range r.PinnedSessions {
		if s.kept[order] == nil {
			s.kept[order] = make(map[uint64]bool, len(sessions))
		}
		for _, session := range sessions {
			s.kept[order][session] = true
		}
	}
}

func (s *sum) record() Snapshot {
	r := Snapshot{Loads: s.loads}
	for subject, t := range s.tallies {
		r.AnswerStats = append(r.AnswerStats, AnswerStatsEntry{subject, t})
	}
	for order, sessions := range s.kept {
		if r.PinnedSessions == nil {
			r.PinnedSessions = make(map[int64][]uint64, len(s.kept))
		}
		for session := range sessions {
			r.PinnedSessions[order] = append(r.PinnedSessions[order], session)
		}
	}
	return r
}
