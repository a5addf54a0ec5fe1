package entry

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/control/peerfeed"
	"gypsumpitch.example/gypsumpitch/internal/control/peerlimits"
	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/rolloutcontrol"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/traffic/conngroups"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
	"gypsumpitch.example/gypsumpitch/platform"
)

// viewFunc returns the current view.
type viewFunc func() *fleet.View

func newViewState(log hclog.Logger, c clock.Clock, s settings.Settings) *viewstate.Manager {
	return viewstate.New(log, c, clock.Millis(s.Entry.CalmMs))
}

func newViewFunc(manager *viewstate.Manager) viewFunc { return manager.View }

func newStore(log hclog.Logger, s settings.Settings) *platform.Store {
	return platform.NewStore(log, s.Entry.Store)
}

func newServerClient() *h1.Client { return h1.NewClient(platform.RequestID) }

func newVersionRouter(c clock.Clock, s settings.Settings, stats *peerstats.Aggregator) *versionrouting.Router {
	return versionrouting.New(c, clock.Millis(s.Entry.SessionS*1000), s.Entry.ExposedShare, stats.IsPinned)
}

func newRetryBudget(c clock.Clock, s settings.Settings) *admission.SharedRetryBudget {
	b := admission.NewSharedRetryBudget(s.Entry.RepeatRatio, s.Entry.RepeatSlack, clock.Millis(s.Entry.RepeatWindowS*1000))
	b.StartAt(c.Now())
	return b
}

func newPeerServer(log hclog.Logger, s settings.Settings, conns *conngroups.Groups) *peer.Server {
	server := peer.NewServer(log, s.Peer.Key)
	server.SetGroup(conns.Peers)
	return server
}

func newConnGroups(log hclog.Logger, c clock.Clock, s settings.Settings, set *metrics.Set) *conngroups.Groups {
	return conngroups.New(log, c, set, s.Entry.MemoryMB, s.Entry.MaxFiles)
}

func newPeerClient(s settings.Settings, conns *conngroups.Groups) *peer.Client {
	client := peer.NewClient(s.Peer.Key, nil)
	client.SetMemory(admission.LargeMemory{Budget: conns.Answers})
	return client
}

func newPeerFeed(log hclog.Logger, c clock.Clock, s settings.Settings, store *platform.Store, peers *peer.Client, exchange *peerstats.Exchange) *peerfeed.Store {
	return peerfeed.New(peerfeed.Config{
		Log:          log,
		Clock:        c,
		RowStore:     store,
		Peers:        peers,
		SelfAddress:  s.Listen.Peer,
		Leaders:      exchange.Leaders,
		ApplyTimeout: clock.Millis(min(s.Entry.DrainMs, s.Entry.ApplyMs)),
		Recovery:     clock.Millis(s.Entry.CalmMs),
	})
}

func newExchange(
	log hclog.Logger, c clock.Clock, s settings.Settings, manager *viewstate.Manager, stats *peerstats.Aggregator,
	balancer *loadbalance.Balancer, router *versionrouting.Router, retryBudget *admission.SharedRetryBudget, peers *peer.Client,
	feed *quarantineFeed, demands *demandFeed,
) *peerstats.Exchange {
	return peerstats.NewExchange(peerstats.Config{
		Log:        log,
		Clock:      c,
		Host:       s.Host,
		DataCentre: s.DataCentre,
		Aggregator: stats,
		Peers:      peers,
		Hosts:      func() map[string]fleet.Host { return manager.View().Hosts },
		Refresh: func() {
			refreshPeerStats(c, s.Host, manager, stats, balancer, router, retryBudget)
			feed.refresh()
			demands.refresh()
		},
	})
}

func newLimitBroker(
	c clock.Clock, s settings.Settings, manager *viewstate.Manager, balancer *loadbalance.Balancer, peers *peer.Client,
) *peerlimits.Broker {
	return peerlimits.New(peerlimits.Config{
		Clock: c, Host: s.Host, Balancer: balancer, Peers: peers, Hosts: func() map[string]fleet.Host { return manager.View().Hosts },
	})
}

func newRolloutController(
	log hclog.Logger, c clock.Clock, s settings.Settings, view viewFunc, stats *peerstats.Aggregator, router *versionrouting.Router,
	store *platform.Store, balancer *loadbalance.Balancer, set *metrics.Set,
) *rolloutcontrol.Controller {
	return rolloutcontrol.New(rolloutcontrol.Config{
		Log: log, Clock: c, Host: s.Host, View: view, PeerStats: stats, CanaryRouter: router,
		Recorder:  platform.NewRecorder(store, view),
		Allowance: rollout.Allowance{Share: s.Entry.ExposedShare, Slack: s.Entry.ExposedSlack},
		Metrics:   rolloutcontrol.NewMetrics(set), OwnLoads: balancer.OwnLoads,
	})
}

func newRelay(
	log hclog.Logger, c clock.Clock, s settings.Settings, manager *viewstate.Manager, client *h1.Client,
	balancer *loadbalance.Balancer, retryBudget *admission.SharedRetryBudget, router *versionrouting.Router, metrics *relay.Metrics,
	tracker *quarantine.Tracker, feed *quarantineFeed, broker *peerlimits.Broker, ledger *demand.Ledger, conns *conngroups.Groups,
) *relay.Relay {
	r := relay.New(relay.Dependencies{
		Log:                 log,
		Clock:               c,
		Host:                s.Host,
		DataCentre:          s.DataCentre,
		View:                manager.View,
		Loaded:              feed.isLoaded,
		ConfigIsCurrent:     manager.IsCurrent,
		Dialect:             platform.Dialect{},
		Client:              client,
		Balancer:            balancer,
		RetryBudget:         retryBudget,
		VersionRouter:       router,
		Quarantine:          tracker,
		TokenLender:         broker,
		Demand:              ledger,
		Metrics:             metrics,
		ConfidenceThreshold: cascade.ConfidenceThreshold{Normal: int(s.Entry.AcceptCalm), Overloaded: int(s.Entry.AcceptBusy)},
		OnServerReplaced: func(id string, now clock.Millis) {
			manager.TryApply(func(state *viewstate.State) { state.RemoveReplacedServer(id, now) })
		},
	})
	r.SetConnBudget(conns.Budget)
	return r
}

func newCallerHandler(c clock.Clock, s settings.Settings, r *relay.Relay, view viewFunc) *platform.CallerHandler {
	return platform.NewCallerHandler(c, r, view, clock.Millis(s.Entry.BodyMs))
}
