package tables

// Route maps requests to a pool and, for model requests, to the models of a cascade.
type Route struct {
	Kind           RouteKind `json:"kind"`
	MatchModel     string    `json:"match_model,omitempty"` // model name in callers' requests
	MatchPath      string    `json:"match_path,omitempty"`  // path prefix of app calls
	Pool           string    `json:"pool"`
	Tiers          []string  `json:"tiers,omitempty"` // models of the cascade, cheapest first
	QualityTarget  float64   `json:"quality_target,omitempty"`
	Class          string    `json:"class,omitempty"`    // of requests; ratings are counted separately for each
	Priority       int       `json:"priority,omitempty"` // 0 is the highest
	AtMostOnce     bool      `json:"at_most_once,omitempty"`
	RequestLimitMs int64     `json:"request_limit_ms"`
}

// Pool is a set of backend servers that serve routes of the same kind.
type Pool struct {
	Kind    RouteKind                `json:"kind"`
	Servers map[string]BackendServer `json:"servers"`
}

// BackendServer is a model engine or an app process. Slots is the number of concurrent
// requests that it can serve; ColdSlots is the limit while its caches are cold, over all
// daemons.
type BackendServer struct {
	Address       string       `json:"address"`
	DataCentre    string       `json:"data_centre"`
	Holds         []string     `json:"holds,omitempty"` // model versions to keep loaded, as model@version
	Slots         int          `json:"slots"`
	ColdSlots     int          `json:"cold_slots"`
	ChecksFencing bool         `json:"checks_fencing,omitempty"`
	State         ServiceState `json:"state,omitempty"`
}

// Model holds the versions of a model by name.
type Model struct {
	Versions map[string]ModelVersion `json:"versions"`
}

// ModelVersion is the row of a model version.
type ModelVersion struct {
	State              VersionState `json:"state"`
	Share              int          `json:"share"`                 // weight for new sessions
	CostMicrosPerToken int64        `json:"cost_micros_per_token"` // millionths of the billing unit
	ChangedIn          int64        `json:"changed_in,omitempty"`  // document version that last changed the row
}

// ClientAccount is an account that callers use, with its keys and permissions.
type ClientAccount struct {
	KeyHashes []string `json:"key_hashes"` // SHA-256 in hex
	Routes    []string `json:"routes"`
	Allowed   []string `json:"allowed,omitempty"` // entries are model or model@version
	Weight    int      `json:"weight"`
}

// Operator is a person who may edit the tables.
type Operator struct {
	KeyHashes []string `json:"key_hashes"` // SHA-256 in hex
}

// DataCentre is a site with hosts and backend servers.
type DataCentre struct {
	Region string       `json:"region,omitempty"`
	State  ServiceState `json:"state"`
}

// Host is an entry host that runs a daemon. A replacement machine keeps the host's name.
type Host struct {
	PeerAddress string       `json:"peer_address"`
	DataCentre  string       `json:"data_centre"`
	State       ServiceState `json:"state"`
}

// SessionKey is a key for session tokens. Tokens are signed with the first key of the
// document and verified with any of them.
type SessionKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}
