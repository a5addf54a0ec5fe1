package fleet

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Server is a backend server as it registered itself.
type Server struct {
	ID            string
	Pool          string
	Address       string // IP and port
	DataCentre    string
	Version       string       // of its software
	Slots         int          // requests that it runs at once
	Draining      bool         // it accepts no new work and will stop
	ColdRemaining clock.Millis // rest of its cold start at the time of registration
	// StartedAt is the Unix time of its start in ms. A restart under the same ID has a
	// later one.
	StartedAt int64
}
