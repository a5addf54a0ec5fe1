package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
)

const (
	// balancerTime is how long the balancer takes to send no more connections:
	// two questions a second apart without a good answer, and the way.
	balancerTime = 2200 * time.Millisecond
	// exitMargin is what is left of the time before SIGKILL when the process ends.
	exitMargin = 400 * time.Millisecond
	// drainPoll is how often the end of all requests is looked for.
	drainPoll = 50 * time.Millisecond
)

// stop ends the daemon in the time given without cutting requests that can end
// in it. Answers ask callers from the start to connect anew; connections that are
// idle are closed last, since a request may be on its way on them.
func (e *Daemon) stop(front *callerconn.Server) error {
	grace := time.Duration(e.Settings.Entry.StopS * float64(time.Second))
	e.Log.Info("stopping", "open_requests", e.Relay.InFlight(), "grace_ms", grace.Milliseconds())
	e.Relay.BeginShutdown(grace-exitMargin, balancerTime)
	drain, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	time.Sleep(min(balancerTime, grace/2))
	for e.Relay.InFlight() > 0 && drain.Err() == nil {
		time.Sleep(drainPoll)
	}
	e.Relay.RejectRequests()
	err := front.Shutdown(drain)
	e.Log.Info("stopped", "open_requests", e.Relay.InFlight())
	if errors.Is(err, context.DeadlineExceeded) {
		// Requests that outlast the grace period are cut, and their callers ask again.
		return nil
	}
	return err
}
