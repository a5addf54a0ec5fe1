package tables

// Route says which requests may reach which models, and through which pool.
type Route struct {
	Kind           RouteKind `json:"kind"`
	MatchModel     string    `json:"match_model,omitempty"` // model name that callers send
	MatchPath      string    `json:"match_path,omitempty"`  // path prefix of app calls
	Pool           string    `json:"pool"`
	Tiers          []string  `json:"tiers,omitempty"` // models from cheap to costly
	QualityTarget  float64   `json:"quality_target,omitempty"`
	Class          string    `json:"class,omitempty"`
	Priority       int       `json:"priority,omitempty"` // 0 is served first
	AtMostOnce     bool      `json:"at_most_once,omitempty"`
	RequestLimitMs int64     `json:"request_limit_ms"`
}

// Pool is a set of backend servers of one kind.
type Pool struct {
	Kind    RouteKind                `json:"kind"`
	Servers map[string]BackendServer `json:"servers"`
}

// BackendServer is one model engine or plain app process.
type BackendServer struct {
	Address       string       `json:"address"`
	DataCentre    string       `json:"data_centre"`
	Holds         []string     `json:"holds,omitempty"` // model@version
	Slots         int          `json:"slots"`
	ColdSlots     int          `json:"cold_slots"`
	ChecksFencing bool         `json:"checks_fencing,omitempty"`
	State         ServiceState `json:"state,omitempty"`
}

// Model is a named model with its versions.
type Model struct {
	Versions map[string]ModelVersion `json:"versions"`
}

// ModelVersion is one version of a model.
type ModelVersion struct {
	State              VersionState `json:"state"`
	Share              int          `json:"share"`                 // weight for new sessions
	CostMicrosPerToken int64        `json:"cost_micros_per_token"` // millionths of the billing unit
	ChangedIn          int64        `json:"changed_in,omitempty"`  // document version of the row's last edit
}

// ClientAccount is a caller's account.
type ClientAccount struct {
	KeyHashes []string `json:"key_hashes"` // SHA-256 in hex
	Routes    []string `json:"routes"`
	Allowed   []string `json:"allowed,omitempty"` // model or model@version
	Weight    int      `json:"weight"`
}

// Operator is somebody who may edit the tables.
type Operator struct {
	KeyHashes []string `json:"key_hashes"` // SHA-256 in hex
}

// DataCentre is one site.
type DataCentre struct {
	Region string       `json:"region,omitempty"`
	State  ServiceState `json:"state"`
}

// Host is an entry host that runs a daemon; it keeps its name when replaced.
type Host struct {
	PeerAddress string       `json:"peer_address"`
	DataCentre  string       `json:"data_centre"`
	State       ServiceState `json:"state"`
}

// SessionKey signs session tokens. The first key of the list signs; all verify.
type SessionKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}
