package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
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
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// Daemon is everything that one gypsumpitchd runs.
type Daemon struct {
	Common       *common.Common
	Incarnation  Incarnation
	TLS          *PeerTLS
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
}

// listeners are the three sockets of a daemon.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

// Run serves until the context ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	sockets, err := d.listen()
	if err != nil {
		return err
	}
	// Work in the background outlives ctx: the shutdown still needs it.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	d.PeerHandlers.Register(d.PeerServer)
	peer.Handle(d.PeerServer, kindStatus, d.peerStatus)
	d.registerGauges()

	var workers sync.WaitGroup
	start := func(run func(context.Context)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			run(background)
		}()
	}
	start(d.Loop.Run)
	start(d.Backlog.Run)
	start(d.flushBills)
	start(d.exchangeRatings)
	start(d.Reconciler.Run)

	callers := d.Callers.NewHTTPServer(background)
	operators := d.newOperatorServer()
	failures := make(chan error, 3)
	go func() { failures <- errors.Wrap(callers.Serve(sockets.caller), "caller listener") }()
	go func() { failures <- errors.Wrap(operators.Serve(sockets.operator), "operator listener") }()
	go func() { failures <- errors.Wrap(d.PeerServer.Serve(background, sockets.peer), "peer listener") }()
	d.Common.Log.Info("serving", "caller", sockets.caller.Addr().String(), "operator", sockets.operator.Addr().String(), "peer", sockets.peer.Addr().String())

	select {
	case <-ctx.Done():
	case err := <-failures:
		return err
	}
	err = d.shutDown(callers, operators)
	_ = sockets.peer.Close()
	stopBackground()
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
		if d.TLS.Server != nil {
			socket = tls.NewListener(socket, d.TLS.Server)
		}
		*l.socket = socket
	}
	return &sockets, nil
}

// shutDown stops in the order that cuts no request: out of the balancer, wait
// for it to see that, finish what is under way, then hand over what must last.
func (d *Daemon) shutDown(callers, operators *http.Server) error {
	stop := d.Common.Settings.Stop
	d.Common.Log.Info("stopping", "open_requests", d.Callers.InFlight())
	d.Callers.BeginShutdown()
	d.Loop.TrySend(controlstate.ShutdownStarted{})
	time.Sleep(clock.Millis(stop.BalancerWaitMs).Duration())

	ctx, cancel := context.WithTimeout(context.Background(), clock.Millis(stop.DrainMs).Duration())
	defer cancel()
	err := errors.Wrap(callers.Shutdown(ctx), "drain callers")
	handOver, cancelHandOver := context.WithTimeout(context.Background(), handOverLimit)
	defer cancelHandOver()
	d.Reconciler.ReleaseLease(handOver)
	d.settleClaims(handOver)
	if handErr := d.Bills.HandOver(handOver); handErr != nil {
		d.Common.Log.Error("bills", "error", handErr)
		err = handErr
	}
	_ = operators.Close()
	own, held := d.Bills.Counts()
	d.Common.Log.Info("stopped", "open_requests", d.Callers.InFlight(), "bills_own", own, "bills_held", held, "claims_unwritten", d.Backlog.Len())
	return err
}

const (
	handOverLimit = 30 * time.Second
	settlePeriod  = 100 * time.Millisecond
)

func (d *Daemon) settleClaims(ctx context.Context) {
	for d.Backlog.Len() > 0 && ctx.Err() == nil {
		d.Backlog.Flush(ctx)
		if d.Backlog.Len() > 0 {
			time.Sleep(settlePeriod)
		}
	}
}

// flushBills writes batches until the context ends. While the table service is
// away it backs off, and afterwards it writes one batch a period, so that
// catching up doesn't burst over the write budget.
func (d *Daemon) flushBills(ctx context.Context) {
	period := clock.Millis(d.Common.Settings.Bills.FlushMs).Duration()
	wait := period
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = period
		if _, err := d.Bills.Flush(ctx); err != nil {
			wait = maxFlushWait
			d.Common.Log.Debug("bills are not written", "error", err)
		}
	}
}

const maxFlushWait = 1 * time.Second

func (d *Daemon) exchangeRatings(ctx context.Context) {
	clock.Every(ctx, clock.Millis(d.Common.Settings.Control.RatingMs), func() {
		if err := d.Quality.Sync(ctx); err != nil {
			d.Common.Log.Debug("rating service", "error", err)
		}
		for _, name := range d.Quality.TakeTripped() {
			d.Common.Log.Warn("version proved bad; no new work for it here", "version", name)
			d.Loop.Send(ctx, controlstate.VersionTripped{Name: name})
			d.Quality.Reset(name)
		}
	})
}
