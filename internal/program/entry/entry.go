// Package entry runs the daemon of an entry host. It reads the configuration and finds
// backend servers and peers in the platform's metadata store.
package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/follower"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/control/peerfeed"
	"gypsumpitch.example/gypsumpitch/internal/control/peerlimits"
	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/quarantinecontrol"
	"gypsumpitch.example/gypsumpitch/internal/control/registry"
	"gypsumpitch.example/gypsumpitch/internal/control/restore"
	"gypsumpitch.example/gypsumpitch/internal/control/rolloutcontrol"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/accept"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/logging"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
	"gypsumpitch.example/gypsumpitch/internal/traffic/conngroups"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
	"gypsumpitch.example/gypsumpitch/platform"
)

// Daemon holds the components of an entry host's daemon. Assemble connects them.
type Daemon struct {
	Log           hclog.Logger
	Clock         clock.Clock
	Settings      settings.Settings
	ViewState     *viewstate.Manager
	Store         *platform.Store
	PeerFeed      *peerfeed.Store
	CallerHandler *platform.CallerHandler
	Relay         *relay.Relay
	Balancer      *loadbalance.Balancer
	VersionRouter *versionrouting.Router
	RetryBudget   *admission.SharedRetryBudget
	PeerStats     *peerstats.Aggregator
	Exchange      *peerstats.Exchange
	PeerServer    *peer.Server
	Rollouts      *rolloutcontrol.Controller
	Quarantine    *quarantine.Tracker
	Quarantines   *quarantinecontrol.Recorder
	LimitBroker   *peerlimits.Broker
	Conns         *conngroups.Groups
	Metrics       *metrics.Set
}

const (
	// operatorBatchDelay is the pause after a response with changes of the operator. The
	// most urgent ones must be in force within 2 s.
	operatorBatchDelay = 400 * clock.Millis(1)
	// serverBatchShare is the pause after a response with changes of servers, as a share
	// of the time after which a draining server must get no more requests.
	serverBatchShare = 0.35
	// waitShare is how long a call waits for changes, as a share of the setting
	// entry.calm_ms, the time after a store outage from which on changes must again be
	// applied in time. A call whose response was lost in the outage must have ended by
	// then.
	waitShare = 0.75
	// ownTableWait is how long a call waits for changes of the daemons' own table.
	ownTableWait = 25_000 * clock.Millis(1)
	// ownTableBatchDelay is the pause after a response with changes of the daemons' own
	// table, which holds nothing urgent.
	ownTableBatchDelay = 800 * clock.Millis(1)
	// memoryLimitShare is the soft memory limit of the Go runtime, as a share of the
	// memory above which the host ends the daemon.
	memoryLimitShare = 0.6
	// responseMemoryDivisor gives the memory for responses that callers haven't read as a
	// fraction of the memory above which the host ends the daemon. It is a part of that for
	// all connections.
	responseMemoryDivisor = 8
	logFlushTimeout       = time.Second
)

// Main loads the settings file at the path and runs the daemon until ctx is done.
func Main(ctx context.Context, path string) error {
	file, s, err := openSettings(path)
	if err != nil {
		return err
	}
	output := logging.NewWriter(os.Stdout)
	defer output.Close(logFlushTimeout)
	log := hclog.New(&hclog.LoggerOptions{
		Name: s.Host, Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON, Output: output,
	})
	d, err := Assemble(log, s)
	if err != nil {
		return err
	}
	d.applySettings(s)
	return d.Run(ctx, file)
}

// Run serves requests until ctx is done or a listener fails, then shuts down gracefully.
// It returns the error of the listener. The settings file is reloaded when it changes.
func (d *Daemon) Run(ctx context.Context, file *settingsFile) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	return d.serve(ctx, file, listeners)
}

// serve is Run with open listeners.
func (d *Daemon) serve(ctx context.Context, file *settingsFile, listeners *listenerSet) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, endReadiness := context.WithCancel(ctx)
	defer endReadiness()
	d.startControl(background)
	callerServer := callerconn.NewServer(accept.Retrying(d.Log, listeners.callers), d.CallerHandler)
	callerServer.OnDropped = d.recordDropped
	callerServer.SetGroup(d.Conns.Callers)
	go clock.Every(background, limitsUpdatePeriod, func() {
		if c := d.ViewState.View().Catalog; c != nil {
			callerServer.SetLimits(c.Limits)
		}
	})
	go d.watchSettings(background, file)
	readiness := newCheckServer(accept.Retrying(d.Log, listeners.readiness), d.readinessHandler(ctx), d.Conns.Readiness)
	d.registerGauges()
	failures := make(chan error, listenerCount)
	go func() { failures <- callerServer.Serve() }()
	go func() { failures <- errors.Wrap(readiness.Serve(), "readiness listener") }()
	go func() { failures <- d.PeerServer.Serve(background, listeners.peers) }()
	if listeners.metrics != nil {
		exposition := newCheckServer(accept.Retrying(d.Log, listeners.metrics), d.metricsHandler(), d.Conns.Metrics)
		go func() { failures <- errors.Wrap(exposition.Serve(), "metrics listener") }()
	}
	d.Log.Info("serving", "caller", d.Settings.Entry.Caller, "ready", d.Settings.Entry.Ready,
		"store", d.Settings.Entry.Store, "peer", d.Settings.Listen.Peer)
	var failure error
	select {
	case failure = <-failures:
		d.Log.Error("a listener failed; stopping", "error", failure)
		endReadiness()
	case <-ctx.Done():
	}
	if err := d.stop(callerServer); failure == nil {
		return err
	}
	return failure
}

const (
	// limitsUpdatePeriod is how often the limits of the configuration are applied to the
	// server for callers.
	limitsUpdatePeriod = 500 * clock.Millis(1)
	listenerCount      = 4
)

// checkLimits apply to readiness checks and requests for metrics.
var checkLimits = catalog.Limits{HeaderBytes: 4 << 10, HeaderTimeout: 5_000, IdleTimeout: 60_000}

// newCheckServer returns a server of readiness checks or metrics.
func newCheckServer(listener net.Listener, handler http.Handler, group *admission.ConnGroup) *callerconn.Server {
	server := callerconn.NewServer(listener, handler)
	server.SetLimits(checkLimits)
	server.SetGroup(group)
	return server
}

// startControl starts the exchange of state with the store and the peers.
func (d *Daemon) startControl(ctx context.Context) {
	go d.ViewState.Run(ctx)
	sink := registry.NewSink(ctx, d.Log, d.ViewState)
	go follower.New(d.Log, d.PeerFeed, restore.NewSink(d.Log, d.Clock, sink), registry.Table, ownTableBatchDelay, ownTableWait).Run(ctx)
	go registry.Announce(ctx, d.Log, d.ViewState, d.Store, d.Settings.Host,
		fleet.Host{
			Address: d.Settings.Listen.Peer, DataCentre: d.Settings.DataCentre, LinkMbps: int(d.Settings.Entry.LinkMbps),
		})
	go d.followPlatformTables(ctx)
	d.Exchange.Register(d.PeerServer)
	d.PeerFeed.Register(d.PeerServer)
	d.LimitBroker.Register(d.PeerServer)
	go d.Exchange.Run(ctx)
	go d.Rollouts.Run(ctx)
	go d.Quarantines.Run(ctx)
}

// followPlatformTables follows the tables of the operator and of the servers. It waits
// until the hosts are known, since the daemons select from them the leader that calls
// the store.
func (d *Daemon) followPlatformTables(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, hostListTimeout.Duration())
	defer cancel()
	for waitCtx.Err() == nil && d.ViewState.View().Hosts[d.Settings.Host].Address == "" {
		clock.Sleep(waitCtx, hostListPoll)
	}
	sink := platform.NewTableSink(ctx, d.Log, d.ViewState)
	wait := clock.Millis(float64(d.Settings.Entry.CalmMs) * waitShare)
	go follower.New(d.Log, d.PeerFeed, restore.NewSink(d.Log, d.Clock, sink), platform.TableOperator, operatorBatchDelay, wait).Run(ctx)
	serverBatchDelay := clock.Millis(float64(d.Settings.Entry.DrainMs) * serverBatchShare)
	go follower.New(d.Log, d.PeerFeed, restore.NewSink(d.Log, d.Clock, sink), platform.TableServers, serverBatchDelay, wait).Run(ctx)
}

const (
	// hostListTimeout limits the wait at startup for this daemon's own host to appear in
	// the list of hosts: the store may be unavailable.
	hostListTimeout = 1_500 * clock.Millis(1)
	hostListPoll    = 10 * clock.Millis(1)
)

// refreshPeerStats passes the counts of this daemon to the aggregator, and the counts of
// the peers and the number of hosts to the components that decide on requests. It also
// removes from the balancer the servers that the view no longer has.
func refreshPeerStats(c clock.Clock, host string, manager *viewstate.Manager, stats *peerstats.Aggregator, balancer *loadbalance.Balancer, router *versionrouting.Router, retryBudget *admission.SharedRetryBudget) {
	view := manager.View()
	stats.SetOwn(balancer.OwnLoads(), router.AnswerStats(), router.PinnedSessions(view))
	stats.SetOwnDepartures(balancer.OwnDepartures(view))
	balancer.SetPeersHeard(stats.PeersHeardAt())
	stats.SetOwnTokens(balancer.OwnTokens())
	if tokens, at, ok := stats.PeerTokens(); ok {
		balancer.SetPeerTokens(tokens, at)
	}
	balancer.SetPeerLoads(stats.PeerLoads(), c.Now())
	balancer.SetPeerDepartures(stats.PeerDepartures(), c.Now())
	refreshLimits(host, view, stats, balancer, c.Now())
	refreshSpeeds(stats, balancer, c.Now())
	retryBudget.SetHostCount(len(view.Hosts))
	balancer.Retain(func(id string) bool {
		_, known := view.Server(id)
		return known
	}, c.Now())
}

// refreshLimits passes what this daemon and its peers know of servers' rate limits between
// the balancer and the aggregator.
func refreshLimits(host string, view *fleet.View, stats *peerstats.Aggregator, balancer *loadbalance.Balancer, now clock.Millis) {
	limits, shares := balancer.OwnLimits(now)
	var members []uint32
	if shares {
		members = []uint32{loadbalance.MemberID(host)}
	}
	stats.SetOwnLimits(limits, members)
	balancer.SetLimitPeers(stats.PeerLimits(), view.HostNames(), host, now)
}

// readinessHandler answers the readiness checks of the load balancer with status 200
// from the time when the view is complete until ctx is done, and with 503 otherwise.
func (d *Daemon) readinessHandler(ctx context.Context) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ctx.Err() != nil || !isReady(d.ViewState.View()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// isReady reports whether the view has a configuration and all tables that routing
// depends on.
func isReady(v *fleet.View) bool {
	for _, table := range platform.Tables() {
		if !v.LoadedTables[table] {
			return false
		}
	}
	return v.Catalog != nil && v.LoadedTables[registry.Table]
}

// listenerSet holds the listeners of the daemon. Those without an address in the
// settings are nil.
type listenerSet struct {
	callers   net.Listener
	readiness net.Listener
	peers     net.Listener
	metrics   net.Listener // optional
}

func (d *Daemon) listen() (*listenerSet, error) {
	var set listenerSet
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{{d.Settings.Entry.Caller, &set.callers}, {d.Settings.Entry.Ready, &set.readiness}, {d.Settings.Listen.Peer, &set.peers}, {d.Settings.Entry.Metrics, &set.metrics}} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		*l.listener = listener
	}
	return &set, nil
}

// applySettings applies the settings that can change while the daemon runs.
func (d *Daemon) applySettings(s settings.Settings) {
	if s.Entry.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Entry.MemoryMB) * memoryLimitShare * (1 << 20)))
	}
	d.RetryBudget.SetLimits(s.Entry.RepeatRatio, s.Entry.RepeatSlack)
	d.RetryBudget.SetCountsEarlier(d.Balancer.AdaptsToLoad)
	d.Balancer.SetDrainTime(clock.Millis(s.Entry.DrainMs))
	features := platform.LoadFeatures(s.Entry)
	d.Balancer.SetFeatures(features)
	d.Relay.SetFeatures(features)
	d.Relay.SetMemoryLimit(s.Entry.MemoryMB << 20 / responseMemoryDivisor)
	d.Conns.SetLimits(s.Entry.MemoryMB, s.Entry.MaxFiles)
	d.Log.Info("load features", "shared_capacity", features.SharedCapacity, "uneven_servers", s.Entry.UnevenServers)
	d.Log.SetLevel(hclog.LevelFromString(s.Log.Level))
}
