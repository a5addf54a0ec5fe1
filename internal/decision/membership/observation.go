// Package membership determines, from the reported states of the other daemons,
// whether this daemon's configuration is current.
package membership

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Observation is the state of a member at an instant of the local clock. ObservedAt
// is never later than the instant at which the state was true: for a relayed
// observation its age is subtracted from when this daemon sent the request.
type Observation struct {
	Member      string
	Incarnation uint64
	Synced      bool // the member has confirmed its configuration since its start
	Version     int64
	ObservedAt  clock.Millis
}
