// Package entry runs the daemon of an entry host, whose configuration, servers
// and peers are found in the platform's store.
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
	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/registry"
	"gypsumpitch.example/gypsumpitch/internal/control/rolloutcontrol"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/logging"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
	"gypsumpitch.example/gypsumpitch/platform"
)

// Daemon is everything that the daemon of an entry host runs.
type Daemon struct {
	Log           hclog.Logger
	Clock         clock.Clock
	Settings      settings.Settings
	Keeper        *viewstate.Manager
	Store         *platform.Store
	Feed          *peerfeed.Store
	Front         *platform.CallerHandler
	Relay         *relay.Relay
	Balancer      *loadbalance.Balancer
	VersionRouter *versionrouting.Router
	Repeats       *admission.SharedRetryBudget
	PeerStats     *peerstats.Aggregator
	Exchange      *peerstats.Exchange
	Peers         *peer.Server
	Pilot         *rolloutcontrol.Controller
	Metrics       *metrics.Set
}

const (
	// settleTime is how long changes by the operator gather. Those that must be in
	// force soonest have 2 s.
	settleTime = 400 * clock.Millis(1)
	// serversPart of the time in which a leaving server must get no more work is how
	// long changes of servers gather.
	serversPart = 0.35
	// waitPart of the time after which the store counts as calm is how long calls for
	// changes are left open, so that one which went silent in an outage is found by then.
	waitPart = 0.75
	// ownWait is the same for the daemons' own rows.
	ownWait = 25_000 * clock.Millis(1)
	// ownSettleTime is the same for the daemons' own rows, where the store only
	// carries what isn't urgent.
	ownSettleTime = 800 * clock.Millis(1)
	// memoryShare of the host's bound is where the garbage collector works harder.
	memoryShare = 0.6
	// logFlush bounds the writing of the last log lines.
	logFlush = time.Second
)

// Main serves by the settings file at the path until the context ends.
func Main(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	output := logging.NewWriter(os.Stdout)
	defer output.Close(logFlush)
	log := hclog.New(&hclog.LoggerOptions{
		Name: s.Host, Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON, Output: output,
	})
	e, err := Assemble(log, s)
	if err != nil {
		return err
	}
	e.apply(s)
	return e.Run(ctx, path)
}

// Run serves until the context ends, then shuts down gracefully.
func (e *Daemon) Run(ctx context.Context, path string) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sockets, err := e.listen()
	if err != nil {
		return err
	}
	e.startControl(background)
	front := callerconn.NewServer(sockets.callers, e.Front)
	go clock.Every(background, limitsPeriod, func() {
		if c := e.Keeper.View().Catalog; c != nil {
			front.SetLimits(c.Limits)
		}
	})
	go e.watchSettings(background, path)
	balancer := &http.Server{Handler: e.readiness(ctx), ReadHeaderTimeout: balancerLimit}
	e.registerGauges()
	failures := make(chan error, listenerCount)
	go func() { failures <- front.Serve() }()
	go func() { failures <- errors.Wrap(balancer.Serve(sockets.balancer), "balancer listener") }()
	go func() { failures <- e.Peers.Serve(background, sockets.peers) }()
	if sockets.metrics != nil {
		go func() { failures <- errors.Wrap(e.metricsServer().Serve(sockets.metrics), "metrics listener") }()
	}
	e.Log.Info("serving", "caller", e.Settings.Entry.Caller, "ready", e.Settings.Entry.Ready,
		"store", e.Settings.Entry.Store, "peer", e.Settings.Listen.Peer)
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
	}
	return e.stop(front)
}

const (
	// limitsPeriod is how often the limits of the configuration are applied.
	limitsPeriod = 500 * clock.Millis(1)
	// listenerCount is how many listeners may fail.
	listenerCount = 4
	// balancerLimit bounds the reading of the balancer's question.
	balancerLimit = 5 * time.Second
)

// startControl starts what keeps this daemon up with the store and its peers.
func (e *Daemon) startControl(ctx context.Context) {
	go e.Keeper.Run(ctx)
	own := registry.NewSink(ctx, e.Log, e.Keeper)
	go follower.New(e.Log, e.Feed, own, registry.Table, ownSettleTime, ownWait).Run(ctx)
	go registry.Announce(ctx, e.Log, e.Keeper, e.Store, e.Settings.Host,
		fleet.Host{
			Address: e.Settings.Listen.Peer, DataCentre: e.Settings.DataCentre, LinkMbps: int(e.Settings.Entry.LinkMbps),
		})
	go e.followPlatform(ctx)
	e.Exchange.Register(e.Peers)
	e.Feed.Register(e.Peers)
	go e.Exchange.Run(ctx)
	go e.Pilot.Run(ctx)
}

// followPlatform follows the tables of the operator and of the servers. It begins
// once the hosts are known, by which the daemons agree on who asks the store.
func (e *Daemon) followPlatform(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, gatherLimit.Duration())
	defer cancel()
	for limit.Err() == nil && e.Keeper.View().Hosts[e.Settings.Host].Address == "" {
		clock.Sleep(limit, gatherPoll)
	}
	feeds := platform.NewTableSink(ctx, e.Log, e.Keeper)
	wait := clock.Millis(float64(e.Settings.Entry.CalmMs) * waitPart)
	go follower.New(e.Log, e.Feed, feeds, platform.TableOperator, settleTime, wait).Run(ctx)
	servers := clock.Millis(float64(e.Settings.Entry.DrainMs) * serversPart)
	go follower.New(e.Log, e.Feed, feeds, platform.TableServers, servers, wait).Run(ctx)
}

const (
	// gatherLimit is how long a daemon that starts waits for the list of hosts to
	// hold itself; the store may be away.
	gatherLimit = 1_500 * clock.Millis(1)
	// gatherPoll is how often it looks.
	gatherPoll = 50 * clock.Millis(1)
)

// refresh brings this daemon's counts to the board, and the others' to its own
// decisions.
func refresh(c clock.Clock, k *viewstate.Manager, b *peerstats.Aggregator, book *loadbalance.Balancer, s *versionrouting.Router, repeats *admission.SharedRetryBudget) {
	view := k.View()
	b.SetOwn(book.OwnLoads(), s.AnswerStats(), s.PinnedSessions(view))
	book.SetPeerLoads(b.PeerLoads(), c.Now())
	repeats.SetHostCount(len(view.Hosts))
	book.Prune(func(id string) bool {
		_, known := view.Server(id)
		return known
	})
}

// readiness answers the balancer: the daemon takes requests once it knows all
// that it needs, until it stops.
func (e *Daemon) readiness(ctx context.Context) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ctx.Err() != nil || !isComplete(e.Keeper.View()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// isComplete tells whether the view has all that requests are decided by.
func isComplete(v *fleet.View) bool {
	for _, table := range platform.Tables() {
		if !v.LoadedTables[table] {
			return false
		}
	}
	return v.Catalog != nil && v.LoadedTables[registry.Table]
}

// sockets are the listeners of the daemon.
type sockets struct {
	callers  net.Listener
	balancer net.Listener
	peers    net.Listener
	metrics  net.Listener // nil where no address is set
}

func (e *Daemon) listen() (*sockets, error) {
	var s sockets
	for _, l := range []struct {
		address string
		socket  *net.Listener
	}{{e.Settings.Entry.Caller, &s.callers}, {e.Settings.Entry.Ready, &s.balancer}, {e.Settings.Listen.Peer, &s.peers}, {e.Settings.Entry.Metrics, &s.metrics}} {
		if l.address == "" {
			continue
		}
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		*l.socket = socket
	}
	return &s, nil
}

// apply makes those settings hold that can change while the daemon runs.
func (e *Daemon) apply(s settings.Settings) {
	if s.Entry.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Entry.MemoryMB) * memoryShare * (1 << 20)))
	}
	e.Repeats.SetLimits(s.Entry.RepeatRatio, s.Entry.RepeatSlack)
	e.Log.SetLevel(hclog.LevelFromString(s.Log.Level))
}
