package entry

import (
	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/control/peerfeed"
	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/rolloutcontrol"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
	"gypsumpitch.example/gypsumpitch/internal/traffic/versionrouting"
	"gypsumpitch.example/gypsumpitch/platform"
)

// bodyPart of the host's memory is for the bodies of requests.
const bodyPart = 6

// views returns the newest view.
type views func() *fleet.View

func newViews(k *viewstate.Manager) views { return k.View }

func newStore(s settings.Settings) *platform.Store { return platform.NewStore(s.Entry.Store) }

func newClient() *h1.Client { return h1.NewClient(platform.RequestID) }

func newVersionRouter(c clock.Clock, s settings.Settings, b *peerstats.Aggregator) *versionrouting.Router {
	return versionrouting.New(c, clock.Millis(s.Entry.SessionS*1000), s.Entry.ExposedShare, b.IsPinned)
}

func newRepeats(s settings.Settings) *admission.SharedRetryBudget {
	return admission.NewSharedRetryBudget(s.Entry.RepeatRatio, s.Entry.RepeatSlack, clock.Millis(s.Entry.RepeatWindowS*1000))
}

func newPeerServer(log hclog.Logger, s settings.Settings) *peer.Server {
	return peer.NewServer(log, s.Peer.Key)
}

func newPeers(s settings.Settings) *peer.Client { return peer.NewClient(s.Peer.Key, nil) }

func newFeed(log hclog.Logger, c clock.Clock, s settings.Settings, store *platform.Store, peers *peer.Client, e *peerstats.Exchange) *peerfeed.Store {
	return peerfeed.New(peerfeed.Config{
		Log:          log,
		Clock:        c,
		RowStore:     store,
		Peers:        peers,
		SelfAddress:  s.Listen.Peer,
		Leaders:      e.Leaders,
		ApplyTimeout: clock.Millis(min(s.Entry.DrainMs, s.Entry.ApplyMs)),
	})
}

func newExchange(
	log hclog.Logger, c clock.Clock, s settings.Settings, k *viewstate.Manager, b *peerstats.Aggregator,
	book *loadbalance.Balancer, st *versionrouting.Router, repeats *admission.SharedRetryBudget, peers *peer.Client,
) *peerstats.Exchange {
	return peerstats.NewExchange(peerstats.Config{
		Log:        log,
		Clock:      c,
		Host:       s.Host,
		DataCentre: s.DataCentre,
		Aggregator: b,
		Peers:      peers,
		Hosts:      func() map[string]fleet.Host { return k.View().Hosts },
		Refresh:    func() { refresh(c, k, b, book, st, repeats) },
	})
}

func newPilot(
	log hclog.Logger, c clock.Clock, s settings.Settings, v views, b *peerstats.Aggregator, st *versionrouting.Router,
	store *platform.Store, book *loadbalance.Balancer,
) *rolloutcontrol.Controller {
	return rolloutcontrol.New(rolloutcontrol.Config{
		Log: log, Clock: c, Host: s.Host, View: v, PeerStats: b, CanaryStopper: st,
		Recorder: platform.NewRecorder(store, v), OwnLoads: book.OwnLoads,
	})
}

func newRelay(
	log hclog.Logger, c clock.Clock, s settings.Settings, k *viewstate.Manager, client *h1.Client,
	book *loadbalance.Balancer, repeats *admission.SharedRetryBudget, st *versionrouting.Router, m *relay.Metrics,
) *relay.Relay {
	return relay.New(relay.Dependencies{
		Log:                 log,
		Clock:               c,
		Host:                s.Host,
		DataCentre:          s.DataCentre,
		View:                k.View,
		ConfigIsCurrent:     k.IsCurrent,
		Dialect:             platform.Dialect{},
		Client:              client,
		Balancer:            book,
		RetryBudget:         repeats,
		VersionRouter:       st,
		Metrics:             m,
		ConfidenceThreshold: cascade.ConfidenceThreshold{Normal: int(s.Entry.AcceptCalm), Overloaded: int(s.Entry.AcceptBusy)},
		OnServerReplaced: func(id string, now clock.Millis) {
			k.TryApply(func(state *viewstate.State) { state.RemoveReplacedServer(id, now) })
		},
	})
}

func newFront(c clock.Clock, s settings.Settings, l *relay.Relay, v views) *platform.CallerHandler {
	return platform.NewCallerHandler(c, l, v, s.Entry.MemoryMB<<20/bodyPart)
}
