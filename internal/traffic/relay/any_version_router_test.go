package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// AnyVersionRouter is a VersionRouter that allows every version.
type AnyVersionRouter struct{}

// AllowedVersions allows all versions.
func (AnyVersionRouter) AllowedVersions(*fleet.View, string, string, *Request, bool) func(string) bool {
	return nil
}

// OverflowVersions allows none, since all are allowed anyway.
func (AnyVersionRouter) OverflowVersions(*fleet.View, string, *Request) func(string) bool { return nil }

// RecordPlacement does nothing.
func (AnyVersionRouter) RecordPlacement(*Request, *fleet.Entry) {}

// RecordSent does nothing.
func (AnyVersionRouter) RecordSent(*fleet.View, *fleet.Entry, *catalog.Route) {}

// RecordOutcome does nothing.
func (AnyVersionRouter) RecordOutcome(*fleet.View, *fleet.Entry, *catalog.Route, Outcome) {}

// RecordPace does nothing.
func (AnyVersionRouter) RecordPace(*fleet.View, *fleet.Entry, string, int, clock.Millis) {}
