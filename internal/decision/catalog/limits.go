package catalog

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}
