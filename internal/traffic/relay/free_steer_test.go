package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
)

// FreeSteer lets every request run on every version.
type FreeSteer struct{}

// Versions allows all versions.
func (FreeSteer) Versions(*fleet.View, string, *Request, bool) func(string) bool { return nil }

// Placed takes no notice.
func (FreeSteer) Placed(*Request, *fleet.Entry) {}

// Outcome takes no notice.
func (FreeSteer) Outcome(*fleet.View, *fleet.Entry, *catalog.Route, Outcome) {}
