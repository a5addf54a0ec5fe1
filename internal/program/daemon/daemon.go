package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/control/eventloop"
	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/control/reconciler"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/platform/objectstore"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/caller"
	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
	"gypsumpitch.example/gypsumpitch/internal/traffic/conngroups"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

const (
	// handoverTimeout bounds everything that follows the drain on shutdown: releasing
	// the lease, flushing claims and handing over bill records.
	handoverTimeout    = 30 * time.Second
	claimFlushInterval = 100 * time.Millisecond
	// memoryLimitShare is the soft memory limit of the Go runtime, as a share of the host's
	// memory for the daemon.
	memoryLimitShare = 0.6
)

// billRetryDelay is the delay after a failed write of bill records.
const billRetryDelay = 1 * time.Second

// Daemon holds the components of a gypsumpitchd process. Assemble connects them.
type Daemon struct {
	Common       *common.Common
	Incarnation  Incarnation
	TLS          *TLSConfigs
	TableService tableservice.Service
	ObjectStore  *objectstore.Client
	Peers        *peer.Client
	PeerServer   *peer.Server
	PeerHandlers *eventloop.PeerHandlers
	Loop         *eventloop.Loop
	Counters     *placement.InFlightCounters
	Dispatcher   *dispatch.Dispatcher
	Callers      *caller.Server
	Metrics      *caller.Metrics
	Editor       *operator.Editor
	Bills        *bills.Recorder
	Backlog      *claims.Backlog
	Quality      *quality.Tracker
	Reconciler   *reconciler.Reconciler
	Conns        *conngroups.Groups
}

// listeners holds the listening sockets of a daemon. That of peers is wrapped in TLS if it is
// configured; for the others their servers do it.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

// Run serves until ctx is cancelled, then shuts down gracefully. It returns early, without a
// graceful shutdown, if a listener fails.
func (d *Daemon) Run(ctx context.Context) error {
	if mb := d.Common.Settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryLimitShare))
	}
	sockets, err := d.listen()
	if err != nil {
		return err
	}
	// Background workers are not bound to ctx, since the graceful shutdown still needs them.
	workerCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorkers()
	d.PeerHandlers.Register(d.PeerServer)
	peer.Handle(d.PeerServer, kindStatus, d.peerStatus)
	d.registerGauges()

	var workers sync.WaitGroup
	start := func(run func(context.Context)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			run(workerCtx)
		}()
	}
	start(d.Loop.Run)
	start(d.Backlog.Run)
	start(d.flushBills)
	start(d.syncRatings)
	start(d.Reconciler.Run)

	callerServer := d.Callers.NewConnServer(workerCtx, sockets.caller, d.TLS.Server)
	callerServer.SetGroup(d.Conns.Callers)
	operatorServer := d.newOperatorServer(sockets.operator)
	failures := make(chan error, 3)
	go func() { failures <- errors.Wrap(callerServer.Serve(), "caller listener") }()
	go func() { failures <- errors.Wrap(operatorServer.Serve(), "operator listener") }()
	go func() { failures <- errors.Wrap(d.PeerServer.Serve(workerCtx, sockets.peer), "peer listener") }()
	d.Common.Log.Info("serving", "caller", sockets.caller.Addr().String(), "operator", sockets.operator.Addr().String(), "peer", sockets.peer.Addr().String())

	select {
	case <-ctx.Done():
	case err := <-failures:
		return err
	}
	err = d.shutDown(callerServer, operatorServer)
	_ = sockets.peer.Close()
	stopWorkers()
	d.PeerServer.CloseAll()
	d.Peers.CloseAll()
	workers.Wait()
	return err
}

func (d *Daemon) listen() (*listeners, error) {
	s := d.Common.Settings.Listen
	var sockets listeners
	for _, l := range []struct {
		address string
		socket  *net.Listener
	}{{s.Caller, &sockets.caller}, {s.Operator, &sockets.operator}, {s.Peer, &sockets.peer}} {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		if d.TLS.Server != nil && l.socket == &sockets.peer {
			socket = tls.NewListener(socket, d.TLS.Server)
		}
		*l.socket = socket
	}
	return &sockets, nil
}

// shutDown stops the daemon without interrupting requests: it fails the health check,
// waits for the load balancer to notice, drains in-flight requests, and then releases the
// lease, flushes claims and hands over bill records.
func (d *Daemon) shutDown(callerServer, operatorServer *callerconn.Server) error {
	stop := d.Common.Settings.Stop
	d.Common.Log.Info("stopping", "open_requests", d.Callers.InFlight())
	d.Callers.BeginShutdown()
	d.Loop.TrySend(controlstate.ShutdownStarted{})
	time.Sleep(clock.Millis(stop.BalancerWaitMs).Duration())

	ctx, cancel := context.WithTimeout(context.Background(), clock.Millis(stop.DrainMs).Duration())
	defer cancel()
	err := errors.Wrap(callerServer.Shutdown(ctx), "drain callers")
	handoverCtx, cancelHandover := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancelHandover()
	d.Reconciler.ReleaseLease(handoverCtx)
	d.flushClaims(handoverCtx)
	if handoverErr := d.Bills.HandOver(handoverCtx); handoverErr != nil {
		d.Common.Log.Error("bills", "error", handoverErr)
		err = handoverErr
	}
	_ = operatorServer.Close()
	own, held := d.Bills.Counts()
	d.Common.Log.Info("stopped", "open_requests", d.Callers.InFlight(), "bills_own", own, "bills_held", held, "claims_unwritten", d.Backlog.Len())
	return err
}

// flushClaims retries until every queued claim is written or ctx is done.
func (d *Daemon) flushClaims(ctx context.Context) {
	for d.Backlog.Len() > 0 && ctx.Err() == nil {
		d.Backlog.Flush(ctx)
		if d.Backlog.Len() > 0 {
			time.Sleep(claimFlushInterval)
		}
	}
}

// flushBills writes one batch of bill records per flush interval until ctx is done. It
// backs off while the table service is unavailable. The records of an outage are also written
// at one batch per interval, so that catching up does not exceed the write budget.
func (d *Daemon) flushBills(ctx context.Context) {
	interval := clock.Millis(d.Common.Settings.Bills.FlushMs).Duration()
	delay := interval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = interval
		if _, err := d.Bills.Flush(ctx); err != nil {
			delay = billRetryDelay
			d.Common.Log.Debug("failed to write bill records", "error", err)
		}
	}
}

// syncRatings exchanges ratings with the rating service until ctx is done, and reports the
// versions that fail the test to the control loop.
func (d *Daemon) syncRatings(ctx context.Context) {
	clock.Every(ctx, clock.Millis(d.Common.Settings.Control.RatingMs), func() {
		if err := d.Quality.Sync(ctx); err != nil {
			d.Common.Log.Debug("failed to sync with the rating service", "error", err)
		}
		for _, name := range d.Quality.TakeTripped() {
			d.Common.Log.Warn("version failed its sequential test; this daemon sends it no new requests", "version", name)
			d.Loop.Send(ctx, controlstate.VersionTripped{Name: name})
			d.Quality.Reset(name)
		}
	})
}
