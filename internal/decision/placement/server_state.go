// Package placement chooses a backend server for a request.
package placement

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Key names a backend server across pools.
type Key struct {
	Pool   string `json:"pool"`
	Server string `json:"server"`
}

// String gives pool and server.
func (k Key) String() string { return k.Pool + "/" + k.Server }

// Load is a backend server's own report.
type Load struct {
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Cold        bool     `json:"cold"`
	Bears       int      `json:"bears"` // requests that a cold server bears
	Leaving     bool     `json:"leaving"`
	Incarnation string   `json:"incarnation"`
	Holds       []string `json:"holds,omitempty"`
}

// ServerState is what a daemon knows of one backend server. It is immutable.
type ServerState struct {
	Load       Load
	LoadAt     clock.Millis // when the report was asked for
	Known      bool         // some report has come
	ColdSince  clock.Millis
	Cold       bool // treated as cold
	Leaving    bool
	LeavingAt  clock.Millis // when the notice was given
	PeerSends  int          // requests that other daemons have under way there
	Capacity   Capacity     // what its reports show that it can serve at once
	Failures   int          // failed calls and reports in a row
	EjectUntil clock.Millis // no new work before, after failures
}
