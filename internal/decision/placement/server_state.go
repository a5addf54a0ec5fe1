// Package placement chooses a backend server for a request.
package placement

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// ServerKey names a backend server across pools.
type ServerKey struct {
	Pool   string `json:"pool"`
	Server string `json:"server"`
}

// String gives pool and server.
func (k ServerKey) String() string { return k.Pool + "/" + k.Server }

// LoadReport is a backend server's own report.
type LoadReport struct {
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	Cold         bool     `json:"cold"`
	ColdCapacity int      `json:"bears"` // requests that a cold server bears
	Leaving      bool     `json:"leaving"`
	Incarnation  string   `json:"incarnation"`
	Holds        []string `json:"holds,omitempty"`
}

// ServerState is what a daemon knows of one backend server. It is immutable.
type ServerState struct {
	Load                LoadReport
	LoadRequestedAt     clock.Millis // when the report was asked for
	Reported            bool         // some report has come
	ColdSince           clock.Millis
	Cold                bool // treated as cold
	Leaving             bool
	LeavingReportedAt   clock.Millis // when the notice was given
	PeerInFlight        int          // requests that other daemons have under way there
	Capacity            Capacity     // what its reports show that it can serve at once
	ConsecutiveFailures int          // failed calls and reports in a row
	EjectedUntil        clock.Millis // no new work before, after failures
}
