package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
)

// FreeSteer lets every request run on every version.
type FreeSteer struct{}

// Versions allows all versions.
func (FreeSteer) AllowedVersions(*fleet.View, string, *Request, bool) func(string) bool { return nil }

// Placed takes no notice.
func (FreeSteer) RecordPlacement(*Request, *fleet.Entry) {}

// Outcome takes no notice.
func (FreeSteer) RecordOutcome(*fleet.View, *fleet.Entry, *catalog.Route, Outcome) {}
