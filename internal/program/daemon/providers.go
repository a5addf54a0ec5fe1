package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/control/eventloop"
	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/control/reconciler"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/platform/hostlist"
	"gypsumpitch.example/gypsumpitch/internal/platform/objectstore"
	"gypsumpitch.example/gypsumpitch/internal/platform/rating"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/traffic/app"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/caller"
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
	"gypsumpitch.example/gypsumpitch/internal/traffic/conngroups"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// staleLoadPolls is the number of poll intervals without a load report after which a server
// counts as cold.
const staleLoadPolls = 8

// maxLoadLag bounds how far a server's load report may lag behind its state.
const maxLoadLag = 500 * clock.Millis(1)

// TLSConfigs holds the TLS configurations of a daemon. Both are nil if TLS is not configured.
// Server is for all listeners, Client for connections to peers.
type TLSConfigs struct {
	Server *tls.Config
	Client *tls.Config
}

func newTLSConfigs(s settings.Settings) (*TLSConfigs, error) {
	if s.TLS.CertFile == "" {
		return &TLSConfigs{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.TLS.CertFile, s.TLS.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	t := &TLSConfigs{
		Server: &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12},
		Client: &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12},
	}
	if s.TLS.CAFile == "" {
		return t, nil
	}
	text, err := os.ReadFile(s.TLS.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls.ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("tls.ca_file: file contains no PEM certificate")
	}
	t.Client.RootCAs = pool
	return t, nil
}

func newMachine(c *common.Common, incarnation Incarnation) *controlstate.Machine {
	control := c.Settings.Control
	return controlstate.New(controlstate.Config{
		Self:                 c.Settings.Host,
		DataCentre:           c.Settings.DataCentre,
		Incarnation:          uint64(incarnation),
		ConfirmWindow:        clock.Millis(control.ConfirmWindowMs),
		PullInterval:         clock.Millis(control.PullMs),
		PullFanout:           int(control.PullFanout),
		PushFanout:           int(control.PushFanout),
		StoreReadInterval:    clock.Millis(control.StoreReadMs),
		StoreReadsPerSecond:  int(control.StoreReadBudget),
		LoadPollInterval:     clock.Millis(control.LoadPollMs),
		LoadStaleAfter:       staleLoadPolls * clock.Millis(control.LoadPollMs),
		MaxLoadLag:           maxLoadLag,
		HostListReadInterval: clock.Millis(control.HostListMs),
		SubsetSize:           int(control.SubsetSize),
		SeedAddresses:        c.Settings.Peer.Seeds,
	}, c.Clock.Now())
}

func newTableService(s settings.Settings, conns *conngroups.Groups) tableservice.Service {
	return tableservice.NewClient(s.Platform.TableService, clock.Millis(s.Platform.TimeoutMs), conns.Answers)
}

func newObjectStore(s settings.Settings, conns *conngroups.Groups) *objectstore.Client {
	return objectstore.NewClient(s.Platform.ObjectStore, clock.Millis(s.Platform.TimeoutMs), conns.Answers)
}

func newHostListClient(s settings.Settings, conns *conngroups.Groups) *hostlist.Client {
	return hostlist.NewClient(s.Platform.HostList, clock.Millis(s.Platform.TimeoutMs), conns.Answers)
}

func newRatingService(s settings.Settings, conns *conngroups.Groups) quality.Service {
	return rating.NewClient(s.Platform.Rating, clock.Millis(s.Platform.TimeoutMs), conns.Answers)
}

func newPeerClient(s settings.Settings, t *TLSConfigs, conns *conngroups.Groups) *peer.Client {
	client := peer.NewClient(s.Peer.Key, t.Client)
	client.SetMemory(admission.LargeMemory{Budget: conns.Answers})
	return client
}

func newPeerServer(c *common.Common, conns *conngroups.Groups) *peer.Server {
	server := peer.NewServer(c.Log, c.Settings.Peer.Key)
	server.SetGroup(conns.Peers)
	return server
}

func newConnGroups(c *common.Common, m *caller.Metrics) *conngroups.Groups {
	limits := c.Settings.Limits
	return conngroups.New(c.Log, c.Clock, m.Set(), limits.MemoryMB, limits.MaxFiles)
}

func newSnapshots(l *eventloop.Loop) func() *controlstate.Snapshot { return l.Snapshot }

func newDispatcher(c *common.Common, snapshot func() *controlstate.Snapshot, counters *placement.InFlightCounters) *dispatch.Dispatcher {
	return dispatch.NewDispatcher(c.Clock, snapshot, counters, placement.Scored{}, clock.Millis(c.Settings.Limits.QueueMs))
}

func newEngineClient(s settings.Settings) *engine.Client {
	return engine.NewClient(s.Limits.MaxAnswerBytes)
}

func newAppClient(s settings.Settings) *app.Client { return app.NewClient(s.Limits.MaxAnswerBytes) }

// answerMemoryDivisor gives the memory for the answers of servers as a part of the host's. They are
// read whole, so that they can be retried.
const answerMemoryDivisor = 4

func newAnswerMemory(s settings.Settings, conns *conngroups.Groups) *admission.MemoryBudget {
	var memory admission.MemoryBudget
	memory.SetLimit(s.Limits.MemoryMB << 20 / answerMemoryDivisor)
	memory.SetParent(conns.Budget)
	return &memory
}

func newCallerServer(
	c *common.Common, incarnation Incarnation, loop *eventloop.Loop, snapshot func() *controlstate.Snapshot,
	dispatcher *dispatch.Dispatcher, engines *engine.Client, apps *app.Client,
	recorder *bills.Recorder, resolver *pins.Resolver, coordinator *claims.Coordinator, tracker *quality.Tracker, metrics *caller.Metrics,
	answerMemory *admission.MemoryBudget,
) *caller.Server {
	return caller.NewServer(caller.Dependencies{
		Common:       c,
		Incarnation:  uint64(incarnation),
		Snapshot:     snapshot,
		Notify:       loop.TrySend,
		Dispatcher:   dispatcher,
		Engines:      engines,
		Apps:         apps,
		Bills:        recorder,
		Pins:         resolver,
		Claims:       coordinator,
		Quality:      tracker,
		Metrics:      metrics,
		AnswerMemory: answerMemory,
	})
}

func newReconciler(
	c *common.Common, incarnation Incarnation, tableService tableservice.Service, loop *eventloop.Loop,
	editor *operator.Editor, tracker *quality.Tracker, loader *reconciler.ModelLoader,
) *reconciler.Reconciler {
	return reconciler.New(c, uint64(incarnation), tableService, loop, editor, tracker, loader)
}

func newExecutor(e *eventloop.NetworkExecutor) eventloop.Executor { return e }
