package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
)

const (
	// balancerRemovalTime is the time until the load balancer sends no more connections:
	// two failed readiness checks, which it makes once a second, and the network delay.
	balancerRemovalTime = 2200 * time.Millisecond
	// exitMargin is the time reserved before SIGKILL for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time reserved before that for the errors of requests that
	// outlast the grace period.
	answerMargin = 200 * time.Millisecond
	drainPoll    = 50 * time.Millisecond
)

// stop shuts the daemon down within the grace period. Requests that finish within it are
// not interrupted; the others end with an error. From the start, responses ask callers to
// close their connections. Idle connections are closed last, since a request may already be
// on its way on them.
func (d *Daemon) stop(server *callerconn.Server) error {
	grace := time.Duration(d.Settings.Entry.StopS * float64(time.Second))
	d.Log.Info("stopping", "open_requests", d.Relay.InFlight(), "grace_ms", grace.Milliseconds())
	serveTime := max(grace-exitMargin-answerMargin, 0)
	d.Relay.BeginShutdown(serveTime, balancerRemovalTime)
	exit, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	drain, cancel := context.WithTimeout(exit, serveTime)
	defer cancel()
	time.Sleep(min(balancerRemovalTime, grace/2))
	for d.Relay.InFlight() > 0 && drain.Err() == nil {
		time.Sleep(drainPoll)
	}
	d.Relay.RejectRequests()
	// A request may have arrived since the last one ended.
	keepRequests := context.AfterFunc(drain, d.Relay.EndRequests)
	err := server.Shutdown(exit)
	keepRequests()
	d.Log.Info("stopped", "open_requests", d.Relay.InFlight())
	d.Relay.LogOpen()
	if errors.Is(err, context.DeadlineExceeded) {
		// Streams that outlast the grace period are interrupted; their callers retry.
		return nil
	}
	return err
}
