// Package board shares small facts among the daemons: what each has under way
// and what it has counted.
//
// In each data centre the daemons report to one of them, which answers with the
// sum of all others; those of the data centres give each other their sums. Which
// one it is follows from the list of hosts and from who answers, so any daemon
// can take over, and messages grow neither with the daemons nor with their pairs.
package board

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/traffic/steer"
)

// Record is what one daemon, or all of a group, have under way and have counted.
type Record struct {
	// Loads are what is under way, by server.
	Loads   map[string]bearing.Load `json:"l"`
	Tallies []Counted               `json:"t,omitempty"`
	// Kept are the sessions that keep an old version, as hashes, by the order of
	// the roll-out.
	Kept map[int64][]uint64 `json:"k,omitempty"`
}

// Counted is a tally with what it is about.
type Counted struct {
	Subject steer.Subject       `json:"s"`
	Tally   rollout.AnswerStats `json:"c"`
}

// Report is what a daemon tells another: of itself, or of its data centre.
type Report struct {
	From         string `json:"f"` // host, or data centre
	IsDataCentre bool   `json:"d"`
	Record       Record `json:"r"`
}

// sum adds up records.
type sum struct {
	loads   map[string]bearing.Load
	tallies map[steer.Subject]rollout.AnswerStats
	kept    map[int64]map[uint64]bool
}

func newSum() *sum {
	return &sum{
		loads:   make(map[string]bearing.Load),
		tallies: make(map[steer.Subject]rollout.AnswerStats),
		kept:    make(map[int64]map[uint64]bool),
	}
}

// add adds a record; what is under way counts only if it is fresh.
func (s *sum) add(r Record, fresh bool) {
	if fresh {
		for id, load := range r.Loads {
			s.loads[id] = s.loads[id].Plus(load)
		}
	}
	for _, c := range r.Tallies {
		s.tallies[c.Subject] = s.tallies[c.Subject].Plus(c.Tally)
	}
	for order, sessions := range r.Kept {
		if s.kept[order] == nil {
			s.kept[order] = make(map[uint64]bool, len(sessions))
		}
		for _, session := range sessions {
			s.kept[order][session] = true
		}
	}
}

func (s *sum) record() Record {
	r := Record{Loads: s.loads}
	for subject, t := range s.tallies {
		r.Tallies = append(r.Tallies, Counted{subject, t})
	}
	for order, sessions := range s.kept {
		if r.Kept == nil {
			r.Kept = make(map[int64][]uint64, len(s.kept))
		}
		for session := range sessions {
			r.Kept[order] = append(r.Kept[order], session)
		}
	}
	return r
}
