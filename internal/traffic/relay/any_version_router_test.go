package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
)

// AnyVersionRouter is a VersionRouter that allows every version.
type AnyVersionRouter struct{}

// AllowedVersions allows all versions.
func (AnyVersionRouter) AllowedVersions(*fleet.View, string, *Request, bool) func(string) bool {
	return nil
}

// RecordPlacement does nothing.
func (AnyVersionRouter) RecordPlacement(*Request, *fleet.Entry) {}

// RecordOutcome does nothing.
func (AnyVersionRouter) RecordOutcome(*fleet.View, *fleet.Entry, *catalog.Route, Outcome) {}
