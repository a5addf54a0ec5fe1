package fleet

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Stage is how far a roll-out has come.
type Stage int

// The stages of a roll-out.
const (
	Ordered    Stage = iota // nobody drives it yet
	Running                 // the target gets a part of the requests
	Completed               // the target gets all of them; the other servers stop
	RolledBack              // the target gets none; its servers stop
)

// String names the stage in logs.
func (s Stage) String() string {
	return [...]string{"ordered", "running", "completed", "rolled_back"}[s]
}

// Rollout is an operator's order to move a pool's traffic to one version.
type Rollout struct {
	Pool     string
	Target   string
	Duration clock.Millis
	Began    clock.Millis // when this daemon heard of the order
	Order    int64        // version of the row that holds the order
	Stage    Stage
	Recorded int64 // version of the row that holds the stage, also of an earlier roll-out; 0 where there is none
}

// Progress returns which part of the time allowed has passed.
func (r Rollout) Progress(now clock.Millis) float64 {
	return float64(now-r.Began) / float64(max(r.Duration, 1))
}

// HalfOver tells whether the first half of the time allowed has passed.
func (r Rollout) HalfOver(now clock.Millis) bool { return now >= r.Began+r.Duration/2 }
