// Package session keeps every session on the versions that it started with.
package session

import "maps"

// Pins maps each model of a route to the session's version of it. It is immutable.
type Pins map[string]string

// With returns a copy in which the model has the version.
func (p Pins) With(model, version string) Pins {
	c := maps.Clone(p)
	if c == nil {
		c = make(Pins)
	}
	c[model] = version
	return c
}
