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
	OrderEpoch   int64        // epoch of the store in which OrderVersion was valid
	Target       string       // of the order; empty in records of earlier releases
	StartedAt    clock.Millis // by the store's clock
	Stage        Stage
	RowVersion   int64  // of the row that holds the record; 0 if the store lacks it
	RowEpoch     int64  // of the store, in which RowVersion is valid
	Token        string // unique to the write of the record; empty in records of earlier releases
	Lost         bool   // the store shows an older record or none
}

// Rollout is an operator's order to move a pool's traffic to one version.
type Rollout struct {
	Pool         string
	Target       string // version
	Duration     clock.Millis
	StartedAt    clock.Millis // by this daemon's clock: recorded start, or else receipt of the order
	OrderVersion int64        // version of the row that holds the order
	OrderEpoch   int64        // epoch of the store in which OrderVersion is valid
	// RenumberedFrom is the OrderVersion before the order was written again after the
	// store returned from a copy; 0 if it was not.
	RenumberedFrom int64
	Stage          Stage
	// RecordVersion, RecordEpoch and RecordToken are those of the pool's record in the
	// store, which may be of an earlier roll-out; 0 and empty if there is none.
	RecordVersion int64
	RecordEpoch   int64
	RecordToken   string
	// RecordLost means that the store's return from a copy has lost the record of Stage.
	RecordLost bool
}

// IsSameOrder reports whether both are orders of the same change, regardless of when.
func (r Rollout) IsSameOrder(other Rollout) bool {
	return r.Pool == other.Pool && r.Target == other.Target && r.Duration == other.Duration
}

// Owns reports whether the record belongs to the order. A record whose order is of a later
// epoch belongs to it if it has the same target: another daemon has seen the order written
// again under another version.
func (r Rollout) Owns(record RolloutRecord) bool {
	if record.Target != "" && record.Target != r.Target {
		return false
	}
	return record.OrderVersion == r.OrderVersion || (record.Target != "" && record.OrderEpoch > r.OrderEpoch)
}

// Progress returns the elapsed share of Duration. It exceeds 1 after the end.
func (r Rollout) Progress(now clock.Millis) float64 {
	return float64(now-r.StartedAt) / float64(max(r.Duration, 1))
}

// PastHalf reports whether half of Duration has passed.
func (r Rollout) PastHalf(now clock.Millis) bool { return now >= r.StartedAt+r.Duration/2 }

// IsReplacedBy reports whether the record belongs to a newer order than this one.
func (r Rollout) IsReplacedBy(record RolloutRecord) bool {
	if r.Owns(record) {
		return false
	}
	return record.OrderEpoch > r.OrderEpoch || (record.OrderEpoch == r.OrderEpoch && record.OrderVersion > r.OrderVersion)
}

// WithOrderEpoch returns a copy with the epoch in which OrderVersion is valid.
func (r Rollout) WithOrderEpoch(epoch int64) Rollout {
	r.OrderEpoch = epoch
	return r
}
