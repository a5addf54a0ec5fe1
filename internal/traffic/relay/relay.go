// Package relay forwards callers' requests to backend servers and returns their
// responses. Plain calls and streams take the same path.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// Dependencies are the collaborators of a Relay.
type Dependencies struct {
	Log        hclog.Logger
	Clock      clock.Clock
	Host       string // name of the host that this daemon runs on
	DataCentre string
	View       func() *fleet.View
	// Loaded reports whether the tables that requests are routed by have been read.
	Loaded func() bool
	// ConfigIsCurrent reports whether the view is known to hold the newest
	// configuration. Until it does, an unknown route or key is rejected with a
	// retryable error.
	ConfigIsCurrent func() bool
	Dialect         Dialect
	Client          *h1.Client
	Balancer        *loadbalance.Balancer
	RetryBudget     *admission.SharedRetryBudget
	VersionRouter   VersionRouter
	Quarantine      *quarantine.Tracker
	TokenLender     TokenLender
	Demand          *demand.Ledger // nil records nothing
	Metrics         *Metrics
	// ConfidenceThreshold is the confidence below which a small model's answer is
	// escalated to the largest model.
	ConfidenceThreshold cascade.ConfidenceThreshold
	// OnServerReplaced is called when the address of the server turns out to belong
	// to another one.
	OnServerReplaced func(id string, now clock.Millis)
}

// VersionRouter chooses the model version that a request runs on during a roll-out,
// and collects the outcomes of the attempts.
type VersionRouter interface {
	// AllowedVersions returns a predicate for the versions that the request of the route may
	// run on; nil allows all. With failed set, an earlier attempt gave no usable response.
	AllowedVersions(v *fleet.View, pool, route string, r *Request, failed bool) func(version string) bool
	// OverflowVersions returns a predicate for the versions that the request may run on
	// instead if the servers of its allowed versions have used up their rate limits; nil
	// if there are none.
	OverflowVersions(v *fleet.View, pool string, r *Request) func(version string) bool
	// RecordPlacement records the server that the request is sent to.
	RecordPlacement(r *Request, e *fleet.Entry)
	// RecordSent counts a request that is sent to the server.
	RecordSent(v *fleet.View, e *fleet.Entry, route *catalog.Route)
	// RecordOutcome records the outcome of an attempt on the server.
	RecordOutcome(v *fleet.View, e *fleet.Entry, route *catalog.Route, o Outcome)
	// RecordPace records the pace of a stream of the model from the server, which had
	// that many requests when the stream began.
	RecordPace(v *fleet.View, e *fleet.Entry, model string, requests int, pace clock.Millis)
}

// TokenLender lends tokens of other daemons for servers whose rate limits this daemon's
// share of is used up.
type TokenLender interface {
	// Borrow passes a token for the server to the Balancer. It reports false if it got none.
	Borrow(ctx context.Context, e *fleet.Entry) bool
}

// Outcome is the result of an attempt, as evidence about the server's version.
type Outcome struct {
	Conclusive bool // whether Failed counts for or against the version
	Failed     bool // the server returned an error or was much slower than usual
	Error      bool // the server returned an error
	// LatencyRatio is the time to the response header, divided by the time expected at
	// the server's load; 0 if unknown. After a timeout it is a lower bound.
	LatencyRatio float64
	// Latency is the time to the response header of a request without a prompt; 0 if the
	// answer is an error or comes from a cold server. After a timeout it is a lower bound.
	Latency clock.Millis
}

// Relay forwards requests to backend servers. It is safe for concurrent use.
type Relay struct {
	Dependencies
	startedAt       clock.Millis
	crashChecks     crashChecks
	crashWatches    crashWatches
	escalationRates cascade.EscalationRates
	open            openRequests
	shutdownAt      atomic.Int64 // when the daemon exits, in clock ms; 0 until shutdown begins
	noStreamsAfter  atomic.Int64 // during shutdown, when new streams are no longer accepted, in clock ms
	rejecting       atomic.Bool  // all requests are rejected
	ending          context.Context
	endAttempts     context.CancelFunc // ends the context ending
	waits           waitPools          // requests that wait for free capacity
	features        atomic.Pointer[loadfeatures.Features]
	memory          callerMemory
}

// New returns a relay that accepts requests.
func New(d Dependencies) *Relay {
	r := &Relay{Dependencies: d, startedAt: d.Clock.Now()}
	r.ending, r.endAttempts = context.WithCancel(context.Background())
	r.SetFeatures(loadfeatures.Features{})
	r.Metrics.observeMemory(&r.memory)
	r.Client.SetMemory(admission.LargeMemory{Budget: &r.memory.budget})
	return r
}

// SetFeatures replaces the optional features that apply to requests that arrive from now on.
func (r *Relay) SetFeatures(f loadfeatures.Features) { r.features.Store(&f) }

// InFlight returns the number of requests being served.
func (r *Relay) InFlight() int64 { return int64(r.open.count()) }

// BeginShutdown announces that the daemon exits after the grace time. Requests that
// are not expected to finish by then are rejected, and after streamGrace all new
// streams: by then the load balancer in front has stopped sending to this daemon.
// Responses ask callers to close their connections.
func (r *Relay) BeginShutdown(grace, streamGrace time.Duration) {
	now := int64(r.Clock.Now())
	r.noStreamsAfter.Store(now + streamGrace.Milliseconds())
	r.shutdownAt.Store(now + grace.Milliseconds())
}

// RejectRequests makes the relay reject all further requests: one that arrives while
// its connection is being closed must not reach a server.
func (r *Relay) RejectRequests() { r.rejecting.Store(true) }

// EndRequests rejects further requests and ends the attempts of those whose responses have not
// begun: their callers get an error, and not just the end of their connections. Streams that
// have begun go on.
func (r *Relay) EndRequests() {
	r.RejectRequests()
	r.endAttempts()
}

// isEnding reports whether EndRequests has been called.
func (r *Relay) isEnding() bool { return r.ending.Err() != nil }

// shutdownTime returns when the daemon exits, and whether it is shutting down.
func (r *Relay) shutdownTime() (exitAt clock.Millis, stopping bool) {
	exitAt = clock.Millis(r.shutdownAt.Load())
	return exitAt, exitAt != 0
}

// Serve writes the response to the request. The context of httpReq ends when the
// caller disconnects. Serve panics with http.ErrAbortHandler to abort a response
// that can't be completed.
func (r *Relay) Serve(w http.ResponseWriter, httpReq *http.Request, req *Request) {
	r.open.add(req)
	defer r.open.remove(req)
	if _, stopping := r.shutdownTime(); stopping {
		w.Header().Set("Connection", "close")
	}
	ex := &exchange{relay: r, req: req, httpReq: httpReq}
	ex.held.budget, ex.keptMemory.budget = &r.memory.budget, &r.memory.budget
	ex.w = &callerWriter{ResponseWriter: w, ex: ex}
	ex.controller = http.NewResponseController(ex.w)
	ended := false
	defer func() {
		if !ended && !httpReq.ProtoAtLeast(1, 1) {
			ex.resetConn(w)
		}
	}()
	defer ex.releaseMemory()
	if err := ex.finishBody(ex.serve()); err != nil {
		ex.finishWithError(err)
	} else {
		ex.finishWithResponse()
	}
	ended = true
}

// match returns the request's route and client account in the view's configuration.
func (r *Relay) match(v *fleet.View, req *Request) (*catalog.Route, catalog.ClientAccount, error) {
	c := v.Catalog
	if c == nil {
		return nil, catalog.ClientAccount{}, result.New(result.NotConfigured, "no configuration has been loaded yet")
	}
	route := c.Match(req.Host, req.Path)
	if route == nil {
		return nil, catalog.ClientAccount{}, r.unknownError(result.NoRoute, "no route matches")
	}
	if !c.NeedsKey(route) {
		return route, catalog.ClientAccount{}, nil
	}
	account, ok := c.ClientAccount(req.APIKey)
	if !ok {
		return nil, catalog.ClientAccount{}, r.unknownError(result.UnknownCredential, "no client account has this key")
	}
	return route, account, nil
}

// unknownError returns the error for a route or key that the configuration lacks:
// one with the code, or a retryable one while the configuration may be out of date.
func (r *Relay) unknownError(code result.Code, text string) error {
	if r.ConfigIsCurrent() {
		return result.New(code, "%s", text)
	}
	return result.New(result.NotConfirmed, "%s, but the configuration may be out of date", text)
}
