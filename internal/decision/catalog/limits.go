package catalog

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Limits bounds the size and the timing of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis // for reading a request header
	IdleTimeout   clock.Millis // for connections between requests
}
