package relay

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// Dependencies are what a relay works with.
type Dependencies struct {
	Log        hclog.Logger
	Clock      clock.Clock
	Host       string // that this daemon runs on
	DataCentre string
	View       func() *fleet.View
	// ConfigIsCurrent tells whether the view can be trusted to hold the newest
	// configuration; what a stale one doesn't know is refused as not run.
	ConfigIsCurrent func() bool
	Dialect         Dialect
	Client          *h1.Client
	Balancer        *bearing.Book
	RetryBudget     *admission.SharedRetryBudget
	Steer           Steer
	Metrics         *Metrics
	// ConfidenceThreshold tells which answers of small models are good enough.
	ConfidenceThreshold cascade.ConfidenceThreshold
	// OnServerReplaced takes in that another server has a server's address.
	OnServerReplaced func(id string, now clock.Millis)
}

// Steer chooses the version of a pool's servers for a request, and learns how
// its answers turn out.
type Steer interface {
	// Versions tells which versions the request may run on now.
	// It has failed where a server was unable to answer it.
	Versions(v *fleet.View, pool string, r *Request, failed bool) func(version string) bool
	// Placed takes in on which server the request runs.
	Placed(r *Request, e *fleet.Entry)
	// Outcome takes in how an attempt ended.
	Outcome(v *fleet.View, e *fleet.Entry, route *catalog.Route, o Outcome)
}

// Outcome is how an attempt at a server ended.
type Outcome struct {
	Conclusive bool // the server answered, by which its version can be judged
	Failed     bool // with an error of its own
	// LatencyRatio is the time to the head of the answer, at least, against what was to be
	// expected there with what was due before; 0 where it isn't known.
	LatencyRatio float64
}

// Relay is safe for concurrent use.
type Relay struct {
	Dependencies
	open   atomic.Int64
	stopBy atomic.Int64 // instant at which the daemon ends; 0 while it doesn't stop
	// noStreams is the instant from which on a daemon that stops takes no streams.
	noStreams atomic.Int64
	ended     atomic.Bool // the daemon takes no more requests
}

// New returns a relay.
func New(d Dependencies) *Relay { return &Relay{Dependencies: d} }

// InFlight returns the number of requests under way.
func (l *Relay) InFlight() int64 { return l.open.Load() }

// BeginShutdown tells the relay that the daemon ends after the time given. Streams
// that can't be expected to end before are refused, and all of them once the
// balancer has had the time to send none; callers are asked to connect anew.
func (l *Relay) BeginShutdown(in, balancer time.Duration) {
	now := int64(l.Clock.Now())
	l.noStreams.Store(now + balancer.Milliseconds())
	l.stopBy.Store(now + in.Milliseconds())
}

// RejectRequests tells the relay that the daemon takes no more requests. One that
// crosses the closing of its connection must not reach a server.
func (l *Relay) RejectRequests() { l.ended.Store(true) }

// isStopping tells whether the daemon ends, and when.
func (l *Relay) isStopping() (by clock.Millis, stopping bool) {
	by = clock.Millis(l.stopBy.Load())
	return by, by != 0
}

// Serve answers the request. The context of the request ends when the caller
// leaves.
func (l *Relay) Serve(w http.ResponseWriter, r *http.Request, q *Request) {
	l.open.Add(1)
	defer l.open.Add(-1)
	if _, stopping := l.isStopping(); stopping {
		w.Header().Set("Connection", "close")
	}
	run := &run{relay: l, request: q, http: r, out: w}
	err := run.serve()
	if err == nil {
		run.noteAnswered()
		return
	}
	run.finish(err)
}

// match finds the route and the client account under the newest configuration.
func (l *Relay) match(v *fleet.View, q *Request) (*catalog.Route, catalog.Account, error) {
	c := v.Catalog
	if c == nil {
		return nil, catalog.Account{}, result.New(result.NotConfigured, "no configuration is known yet")
	}
	route := c.Match(q.Host, q.Path)
	if route == nil {
		return nil, catalog.Account{}, l.unknown(result.NoRoute, "no route matches")
	}
	if !c.NeedsKey(route) {
		return route, catalog.Account{}, nil
	}
	account, ok := c.Account(q.APIKey)
	if !ok {
		return nil, catalog.Account{}, l.unknown(result.UnknownCredential, "no client account has this key")
	}
	return route, account, nil
}

// unknown refuses what the configuration doesn't know; while it may be stale, as
// something that may be known soon.
func (l *Relay) unknown(code result.Code, text string) error {
	if l.ConfigIsCurrent() {
		return result.New(code, "%s", text)
	}
	return result.New(result.NotConfirmed, "%s, but the configuration may be out of date", text)
}
