// Package core is the daemon's control state: it takes typed events and returns
// typed effects, does no input or output, and reads no clock. One goroutine
// calls it; traffic goroutines read the snapshots that it makes.
package core

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Config is what a core is told at its start.
type Config struct {
	Self          string
	DataCentre    string
	Incarnation   uint64
	ConfirmWindow clock.Millis
	PullPeriod    clock.Millis
	PullFanout    int
	PushFanout    int
	StoreRead     clock.Millis
	StoreBudget   int
	LoadPoll      clock.Millis
	LoadStale     clock.Millis
	LoadLag       clock.Millis // longest lag of a server's own report
	HostListRead  clock.Millis
	SubsetSize    int
	Seeds         []string // peer addresses to ask before the first document
}
