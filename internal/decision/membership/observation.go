// Package membership decides from what is known of the other daemons whether
// this daemon's configuration is current.
package membership

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Observation is what a member was known to be at an instant of the local clock.
// The instant is never later than when it was true: relayed sightings count
// from before this daemon asked for them.
type Observation struct {
	Member      string
	Incarnation uint64
	Synced      bool // the member knows the configuration since its start
	Version     int64
	ObservedAt  clock.Millis
}
