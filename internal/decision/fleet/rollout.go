package fleet

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Stage is how far a roll-out has come.
type Stage int

// The stages of a roll-out.
const (
	Ordered    Stage = iota // nobody drives it yet
	Running                 // the target gets a part of the requests
	Completed               // the target gets all of them; the other servers stop
	RolledBack              // the target gets none; its servers stop
)

// stageNames are the names of the stages in rows and logs.
var stageNames = [...]string{"ordered", "running", "completed", "rolled_back"}

// String returns the name of the stage.
func (s Stage) String() string { return stageNames[s] }

// ParseStage returns the stage with that name.
func ParseStage(name string) (Stage, bool) {
	at := slices.Index(stageNames[:], name)
	return Stage(max(at, 0)), at >= 0
}

// RolloutRecord is what the store holds of a roll-out.
type RolloutRecord struct {
	OrderVersion int64        // version of the row that holds the order
	StartedAt    clock.Millis // by the store's clock
	Stage        Stage
	RowVersion   int64 // of the record's row
}

// Rollout is an operator's order to move a pool's traffic to one version.
type Rollout struct {
	Pool          string
	Target        string
	Duration      clock.Millis
	StartedAt     clock.Millis // when this daemon heard of the order
	OrderVersion  int64        // version of the row that holds the order
	Stage         Stage
	RecordVersion int64 // version of the pool's record in the store, also of an earlier roll-out; 0 where there is none
}

// Progress returns which part of the time allowed has passed.
func (r Rollout) Progress(now clock.Millis) float64 {
	return float64(now-r.StartedAt) / float64(max(r.Duration, 1))
}

// PastHalf tells whether the first half of the time allowed has passed.
func (r Rollout) PastHalf(now clock.Millis) bool { return now >= r.StartedAt+r.Duration/2 }
