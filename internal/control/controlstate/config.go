package controlstate

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Config holds the parameters of a Machine.
type Config struct {
	Self                 string
	DataCentre           string
	Incarnation          uint64
	ConfirmWindow        clock.Millis // how long a confirmation of the document admits new work
	PullInterval         clock.Millis
	PullFanout           int // peers per pull
	PushFanout           int // peers per announcement or server update
	StoreReadInterval    clock.Millis
	StoreReadsPerSecond  int // of all daemons together
	LoadPollInterval     clock.Millis
	LoadStaleAfter       clock.Millis // age of a load report from which the server counts as cold
	MaxLoadLag           clock.Millis // how far a server's own report may lag behind its state
	HostListReadInterval clock.Millis
	SubsetSize           int      // preferred servers per pool
	SeedAddresses        []string // peer addresses to pull from before the first document
}
