package fleet

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// QuarantineKey identifies what is quarantined; see quarantine.Part.
type QuarantineKey = [16]byte

// Quarantine is the record in the store of requests that crash servers.
type Quarantine struct {
	Since clock.Millis // by the store's clock
	Hold  clock.Millis // until a request with the segment is let through on trial
	Lost  bool         // the store's return from a copy has lost the record
}
