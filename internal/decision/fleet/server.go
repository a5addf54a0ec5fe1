package fleet

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Server is a backend server as it describes itself.
type Server struct {
	ID            string
	Pool          string
	Address       string // IP and port
	DataCentre    string
	Version       string // of its software
	Slots         int
	Draining      bool
	ColdRemaining clock.Millis // what was left of its cold start when it was heard of
	StartedAt     int64        // Unix time of its start in milliseconds; a restart under the same id has a later one
}
