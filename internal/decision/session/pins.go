// Package session encodes the model versions on which a session started, so that it
// stays on them.
package session

import "maps"

// Pins maps each model of a route to the session's version of it. Immutable.
type Pins map[string]string

// With returns a copy in which the model is pinned to the version.
func (p Pins) With(model, version string) Pins {
	pins := maps.Clone(p)
	if pins == nil {
		pins = make(Pins)
	}
	pins[model] = version
	return pins
}
