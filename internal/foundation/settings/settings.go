// Package settings holds the start-up settings of a daemon: its name and addresses,
// the addresses of the platform's services, and its limits.
package settings

// Settings is the settings file of a daemon, JSON with comments.
type Settings struct {
	Host       string   `json:"host" doc:"name of this host in the hosts table"`
	DataCentre string   `json:"data_centre" doc:"data centre that this host stands in"`
	Listen     Listen   `json:"listen"`
	TLS        TLS      `json:"tls"`
	Peer       Peer     `json:"peer"`
	Platform   Platform `json:"platform"`
	Limits     Limits   `json:"limits"`
	Control    Control  `json:"control"`
	Bills      Bills    `json:"bills"`
	Stop       Stop     `json:"stop"`
	Log        Log      `json:"log"`
	Entry      Entry    `json:"entry"`
}

// Entry holds the settings of a daemon that reads its configuration, servers and
// peers from a metadata store. If Store is empty, Listen and Platform apply instead.
type Entry struct {
	Caller        string  `json:"caller" doc:"IP and port for callers"`
	Ready         string  `json:"ready" doc:"IP and port where the balancer asks whether the daemon takes requests"`
	Metrics       string  `json:"metrics" doc:"IP and port for metrics, at /metrics; empty serves none"`
	Store         string  `json:"store" doc:"IP and port of the metadata store"`
	MemoryMB      int64   `json:"memory_mb" doc:"memory above which the host ends the daemon; 30% are for connections and their requests; 0 sets no limit" unit:"MB" min:"0" max:"1048576"`
	LinkMbps      float64 `json:"link_mbps" doc:"speed of the host's network link in Mbit/s; daemons on the fastest ones speak for their data centre"`
	MaxFiles      int64   `json:"max_files" doc:"file descriptors that the host allows; three eighths or less are for callers, a sixth for peers; 0 takes the limit of the process" unit:"files" min:"0" max:"10000000"`
	BodyMs        int64   `json:"body_ms" doc:"time in which a caller must send its body, unless its own timeout is shorter" unit:"ms" min:"10" max:"3600000"`
	RepeatRatio   float64 `json:"repeat_ratio" doc:"sendings to a second server as a share of a pool's requests, by all daemons"`
	RepeatSlack   float64 `json:"repeat_slack" doc:"such sendings that are allowed besides, by all daemons"`
	RepeatWindowS float64 `json:"repeat_window_s" doc:"window in which they are counted, in seconds"`
	StopS         float64 `json:"stop_s" doc:"time between SIGTERM and SIGKILL, in seconds"`
	SessionS      float64 `json:"session_s" doc:"pause after which a session is over, in seconds"`
	ExposedShare  float64 `json:"exposed_share" doc:"share of a pool's requests that a version on trial may get"`
	ExposedSlack  float64 `json:"exposed_slack" doc:"requests that a version on trial may get besides in one roll-out"`
	AcceptCalm    int64   `json:"accept_calm" doc:"least confidence of a small model's answer that is accepted while the largest model answers in time" unit:"%" min:"0" max:"100"`
	AcceptBusy    int64   `json:"accept_busy" doc:"the same while the largest model can't answer in time" unit:"%" min:"0" max:"100"`
	CalmMs        int64   `json:"calm_ms" doc:"time after a disturbance of the store from which on changes must be in force in time again" unit:"ms" min:"100" max:"600000"`
	ApplyMs       int64   `json:"apply_ms" doc:"time in which a change of the configuration must be in force" unit:"ms" min:"0" max:"600000"`
	DrainMs       int64   `json:"drain_ms" doc:"time in which a server that leaves must get no more work" unit:"ms" min:"0" max:"600000"`

	Capabilities   []string `json:"capabilities" doc:"names of the platform's rule sets in force; unknown names are ignored"`
	SharedCapacity string   `json:"shared_capacity" doc:"auto, on or off: waiting, fair shares and early rejection where callers compete; auto follows capabilities"`
	UnevenServers  string   `json:"uneven_servers" doc:"auto, on or off: placement by server speed; auto follows what the servers of a pool state"`
}

// Listen holds the addresses to listen on.
type Listen struct {
	Caller   string `json:"caller" doc:"IP and port for callers"`
	Operator string `json:"operator" doc:"IP and port for operators"`
	Peer     string `json:"peer" doc:"IP and port for other daemons"`
}

// TLS enables TLS on every listener if CertFile and KeyFile are given.
type TLS struct {
	CertFile string `json:"cert_file" doc:"certificate chain in PEM; empty turns TLS off"`
	KeyFile  string `json:"key_file" doc:"private key in PEM"`
	CAFile   string `json:"ca_file" doc:"certificates in PEM that peers must be signed by"`
}

// Peer holds the key by which daemons authenticate to each other, and the addresses
// of the first peers.
type Peer struct {
	Key   string   `json:"key" doc:"secret that all daemons share; at least 16 bytes off loopback"`
	Seeds []string `json:"seeds" doc:"peer addresses to ask when the daemon starts while the table service is away"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	TableService string `json:"table_service" doc:"base URL of the table service"`
	ObjectStore  string `json:"object_store" doc:"base URL of the object store"`
	HostList     string `json:"host_list" doc:"base URL of the list of live and leaving hosts"`
	Rating       string `json:"rating" doc:"base URL of the rating service"`
	TimeoutMs    int64  `json:"timeout_ms" doc:"limit of one call to the platform" unit:"ms" min:"10" max:"60000"`
}

// Limits bounds the resources that requests of callers can use.
type Limits struct {
	MaxBodyBytes   int64 `json:"max_body_bytes" doc:"largest request body" unit:"bytes" min:"1024" max:"1073741824"`
	MaxHeaderBytes int64 `json:"max_header_bytes" doc:"largest request header" unit:"bytes" min:"1024" max:"1048576"`
	MaxAnswerBytes int64 `json:"max_answer_bytes" doc:"largest whole answer from a backend server" unit:"bytes" min:"1024" max:"1073741824"`
	HeaderReadMs   int64 `json:"header_read_ms" doc:"time in which a caller must send its header" unit:"ms" min:"10" max:"600000"`
	BodyReadMs     int64 `json:"body_read_ms" doc:"time in which a caller must send its body" unit:"ms" min:"10" max:"600000"`
	MaxInFlight    int64 `json:"max_in_flight" doc:"requests that one daemon has under way" unit:"requests" min:"1" max:"1000000"`
	QueueMs        int64 `json:"queue_ms" doc:"longest wait for a backend server" unit:"ms" min:"0" max:"60000"`
	RetryPercent   int64 `json:"retry_percent" doc:"retries as a share of first attempts" unit:"%" min:"0" max:"100"`
	MemoryMB       int64 `json:"memory_mb" doc:"memory of the host for the daemon; 30% are for connections and their requests; 0 sets no limit" unit:"MB" min:"0" max:"1048576"`
	MaxFiles       int64 `json:"max_files" doc:"file descriptors that the host allows; three eighths or less are for callers, a sixth for peers; 0 takes the limit of the process" unit:"files" min:"0" max:"10000000"`
	PinCache       int64 `json:"pin_cache" doc:"session pins kept in memory" unit:"pins" min:"16" max:"10000000"`
}

// Control sets periods and limits of the control state machine and its loops.
type Control struct {
	TickMs          int64 `json:"tick_ms" doc:"period of the control goroutine's clock" unit:"ms" min:"10" max:"10000"`
	PullMs          int64 `json:"pull_ms" doc:"period of asking peers for their state" unit:"ms" min:"10" max:"60000"`
	PullFanout      int64 `json:"pull_fanout" doc:"peers asked in one period" unit:"peers" min:"1" max:"1000"`
	PushFanout      int64 `json:"push_fanout" doc:"peers told of a new document by each daemon" unit:"peers" min:"1" max:"1000"`
	ConfirmWindowMs int64 `json:"confirm_window_ms" doc:"how long a confirmed version lets new work in" unit:"ms" min:"100" max:"60000"`
	StoreReadMs     int64 `json:"store_read_ms" doc:"shortest period of reading the document's version" unit:"ms" min:"50" max:"600000"`
	StoreReadBudget int64 `json:"store_read_budget" doc:"such reads of all daemons together" unit:"reads/s" min:"1" max:"2000"`
	LoadPollMs      int64 `json:"load_poll_ms" doc:"period of asking a backend server for its load" unit:"ms" min:"10" max:"60000"`
	HostListMs      int64 `json:"host_list_ms" doc:"period of reading the host list" unit:"ms" min:"50" max:"600000"`
	SubsetSize      int64 `json:"subset_size" doc:"backend servers of a pool that one daemon prefers" unit:"servers" min:"1" max:"100000"`
	LeaseMs         int64 `json:"lease_ms" doc:"life of a lease" unit:"ms" min:"200" max:"600000"`
	OrderLimitMs    int64 `json:"order_limit_ms" doc:"longest life of an order in flight to an engine" unit:"ms" min:"10" max:"600000"`
	RatingMs        int64 `json:"rating_ms" doc:"period of reading new ratings" unit:"ms" min:"50" max:"600000"`
}

// Bills configures the writing of bill records.
type Bills struct {
	FlushMs      int64 `json:"flush_ms" doc:"period of writing a batch" unit:"ms" min:"10" max:"600000"`
	BatchRows    int64 `json:"batch_rows" doc:"rows in one write" unit:"rows" min:"1" max:"10000"`
	MaxPending   int64 `json:"max_pending" doc:"unwritten records at which new work is refused" unit:"records" min:"1" max:"10000000"`
	HolderWaitMs int64 `json:"holder_wait_ms" doc:"age at which a replica holder writes a record itself" unit:"ms" min:"100" max:"3600000"`
}

// Stop configures a graceful shutdown.
type Stop struct {
	BalancerWaitMs int64 `json:"balancer_wait_ms" doc:"time for the balancer to see that the daemon isn't ready" unit:"ms" min:"0" max:"600000"`
	DrainMs        int64 `json:"drain_ms" doc:"longest wait for requests under way" unit:"ms" min:"0" max:"86400000"`
}

// Log configures the log output.
type Log struct {
	Level string `json:"level" doc:"trace, debug, info, warn or error"`
	JSON  bool   `json:"json" doc:"log lines as JSON"`
}
