// Package daemon assembles gypsumpitchd.
package daemon

import "time"

// Incarnation tells one run of a daemon from the runs before it. It grows with
// each start as long as the host's wall clock does.
type Incarnation uint64

// NewIncarnation returns the incarnation of a daemon that starts now.
func NewIncarnation() Incarnation {
	return Incarnation(time.Now().UnixMilli())
}
