// Package placement ranks backend servers for a request and tracks their state. It
// serves program/daemon; program/entry uses package loadbalance instead.
package placement

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// ServerKey identifies a backend server among those of all pools.
type ServerKey struct {
	Pool   string `json:"pool"`
	Server string `json:"server"`
}

// String returns the key as "pool/server".
func (k ServerKey) String() string { return k.Pool + "/" + k.Server }

// LoadReport is a backend server's report of its own load.
type LoadReport struct {
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	Cold         bool     `json:"cold"`
	ColdCapacity int      `json:"bears"` // requests that the server can serve at once while cold
	Leaving      bool     `json:"leaving"`
	Incarnation  string   `json:"incarnation"`
	Holds        []string `json:"holds,omitempty"` // loaded models, as model@version
}

// ServerState is what a daemon knows of one backend server. Immutable.
type ServerState struct {
	Load                LoadReport   // newest report
	LoadRequestedAt     clock.Millis // when the newest report was requested
	Reported            bool         // at least one report was received
	ColdSince           clock.Millis
	Cold                bool // limited to the cold capacity
	Leaving             bool // shutting down; gets no new requests
	LeavingReportedAt   clock.Millis
	PeerInFlight        int      // in-flight requests of other daemons
	Capacity            Capacity // estimated from the reports
	ConsecutiveFailures int      // of calls and reports
	EjectedUntil        clock.Millis
}
