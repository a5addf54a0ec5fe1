// Package controlstate is the daemon's control state: it takes typed events and returns
// typed effects, does no input or output, and reads no clock. One goroutine
// calls it; traffic goroutines read the snapshots that it makes.
package controlstate

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Config is what a core is told at its start.
type Config struct {
	Self                 string
	DataCentre           string
	Incarnation          uint64
	ConfirmWindow        clock.Millis
	PullInterval         clock.Millis
	PullFanout           int
	PushFanout           int
	StoreReadInterval    clock.Millis
	StoreReadsPerSecond  int
	LoadPollInterval     clock.Millis
	LoadStaleAfter       clock.Millis
	MaxLoadLag           clock.Millis // longest lag of a server's own report
	HostListReadInterval clock.Millis
	SubsetSize           int
	SeedAddresses        []string // peer addresses to ask before the first document
}
