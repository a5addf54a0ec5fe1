// Package dispatch assigns requests to backend servers. Requests wait in a queue
// while all servers are full, and are rejected at once if they can't be served in
// time.
package dispatch

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Request describes a request that needs a backend server.
type Request struct {
	Account     string
	Weight      int
	Priority    int // the lowest number is served first
	Pool        string
	Model       string // empty for calls to app servers
	Version     string
	AffinityKey string // equal for requests that share a prompt prefix; may be empty
	Deadline    clock.Millis
	Tried       map[placement.ServerKey]bool // servers to avoid unless no other can serve the request
}
