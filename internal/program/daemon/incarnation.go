// Package daemon implements the gypsumpitchd command.
package daemon

import "time"

// Incarnation distinguishes the runs of a daemon on the same host. It increases with every
// start, provided that the host's wall clock is not set back.
type Incarnation uint64

// NewIncarnation derives an incarnation from the wall clock, in milliseconds since the
// Unix epoch.
func NewIncarnation() Incarnation {
	return Incarnation(time.Now().UnixMilli())
}
