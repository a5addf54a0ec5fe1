package tables

// ServiceState is the operators' setting of whether an object may receive new work.
type ServiceState string

// The service states of data centres, hosts and backend servers. The empty state of a
// backend server means InService.
const (
	InService    ServiceState = "in"
	OutOfService ServiceState = "out"
)

// VersionState is the roll-out state of a model version.
type VersionState string

// The roll-out states of a model version. Canary and Active versions receive new sessions;
// a Paused version keeps its sessions but receives no new ones; a Withdrawn version
// receives no new work.
const (
	Canary    VersionState = "canary"
	Active    VersionState = "active"
	Paused    VersionState = "paused"
	Withdrawn VersionState = "withdrawn"
)

// RouteKind distinguishes model requests from app calls.
type RouteKind string

// The kinds of routes and pools.
const (
	KindModel RouteKind = "model"
	KindApp   RouteKind = "app"
)
