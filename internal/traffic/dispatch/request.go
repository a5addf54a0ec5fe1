// Package dispatch gives requests a backend server, or a place in the queue,
// or an answer at once that there is none.
package dispatch

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Request is what needs a backend server.
type Request struct {
	Account     string
	Weight      int
	Priority    int
	Pool        string
	Model       string // empty for app calls
	Version     string
	AffinityKey string // equal for requests that share a prompt prefix
	Deadline    clock.Millis
	Tried       map[placement.ServerKey]bool // servers that are taken again only where no other is left
}
