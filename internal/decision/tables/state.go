package tables

// ServiceState says whether operators have an object in service.
type ServiceState string

// The service states of data centres, hosts and backend servers.
const (
	InService    ServiceState = "in"
	OutOfService ServiceState = "out"
)

// VersionState is the stage of a model version.
type VersionState string

// The stages of a model version. A paused version keeps its sessions and gets
// no new ones; a withdrawn version gets no new work at all.
const (
	Canary    VersionState = "canary"
	Active    VersionState = "active"
	Paused    VersionState = "paused"
	Withdrawn VersionState = "withdrawn"
)

// RouteKind tells model requests from plain app calls.
type RouteKind string

// The kinds of routes and pools.
const (
	KindModel RouteKind = "model"
	KindApp   RouteKind = "app"
)
