package fleet

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Stage is the stage of a roll-out.
type Stage int

// The stages of a roll-out.
const (
	Ordered    Stage = iota // no daemon has recorded its start yet
	Running                 // the target gets an increasing share of the requests
	Completed               // the target gets all requests; the other servers stop
	RolledBack              // the target gets no requests; its servers stop
)

// stageNames are the names of the stages in the store and in logs.
var stageNames = [...]string{"ordered", "running", "completed", "rolled_back"}

// String returns the name of the stage in the store and in logs.
func (s Stage) String() string { return stageNames[s] }

// ParseStage is the inverse of Stage.String. It returns false for an unknown name.
func ParseStage(name string) (Stage, bool) {
	i := slices.Index(stageNames[:], name)
	return Stage(max(i, 0)), i >= 0
}

// RolloutRecord is the recorded state of a roll-out in the store.
type RolloutRecord struct {
	OrderVersion int64        // version of the row that holds the order
	StartedAt    clock.Millis // by the store's clock
	Stage        Stage
	RowVersion   int64 // of the row that holds the record
}

// Rollout is an operator's order to move a pool's traffic to one version.
type Rollout struct {
	Pool         string
	Target       string // version
	Duration     clock.Millis
	StartedAt    clock.Millis // by this daemon's clock: recorded start, or else receipt of the order
	OrderVersion int64        // version of the row that holds the order
	Stage        Stage
	// RecordVersion is the version of the pool's record in the store, which may be of
	// an earlier roll-out; 0 if there is none.
	RecordVersion int64
}

// Progress returns the elapsed share of Duration. It exceeds 1 after the end.
func (r Rollout) Progress(now clock.Millis) float64 {
	return float64(now-r.StartedAt) / float64(max(r.Duration, 1))
}

// PastHalf reports whether half of Duration has passed.
func (r Rollout) PastHalf(now clock.Millis) bool { return now >= r.StartedAt+r.Duration/2 }
