// Package board shares small facts among the daemons: what each has under way
// and what it has counted.
package board

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/traffic/steer"
)

// Record is what one daemon tells all others of itself. A later one replaces an
// earlier one.
type Record struct {
	Host        string `json:"h"`
	Incarnation int64  `json:"i"` // Unix time of the daemon's start in ns
	Sequence    int64  `json:"q"` // counts the daemon's records
	// Loads are what the daemon has under way, by server.
	Loads   map[string]bearing.Load `json:"l"`
	Tallies []Counted               `json:"t"`
	// Kept are the sessions that keep an old version, as hashes, by the order of
	// the roll-out.
	Kept map[int64][]uint64 `json:"k"`
}

// Counted is a tally with what it is about.
type Counted struct {
	Subject steer.Subject `json:"s"`
	Tally   rollout.Tally `json:"c"`
}

// isNewer tells whether r replaces o.
func (r Record) isNewer(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// Message is what two daemons give each other: the records that one believes
// the other lacks, and the sequences that it has.
type Message struct {
	From    string           `json:"f"`
	Records []Record         `json:"r"`
	Has     map[string]int64 `json:"a"` // newest sequence by host
}
