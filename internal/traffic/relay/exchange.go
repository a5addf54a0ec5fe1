package relay

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// exchange is a request while it is served. It is used by one goroutine. Its states are those
// of exchange_state.go.
type exchange struct {
	relay      *Relay
	req        *Request
	httpReq    *http.Request
	w          *callerWriter
	controller *http.ResponseController // of w
	deadline   clock.Millis             // for the complete response
	demand     *demand.Request          // in the ledger; nil before the route is known
	held       heldMemory               // by the response that is read
	// sharesCapacity reports that the request holds requestBytes, and that its response is
	// passed on by a streamBuffer.
	sharesCapacity bool

	state state
	placement
	executionHistory
	responseProgress
	resumption
	modelChoice
	crashSuspicion
	succession

	current    *activeAttempt // nil unless one is under way
	watch      attemptWatch   // of it
	confidence int            // stated in the last response, 0 to 100; -1 if none was
	answeredAt clock.Millis   // when the last attempt's response header arrived
	lastError  string         // why the last attempt failed
}

// placement is where the last attempt was sent, and the configuration that applied to it.
// Before the first attempt, route, account and the pool's name are those at arrival.
type placement struct {
	view    *fleet.View
	route   *catalog.Route
	account catalog.ClientAccount
	pool    catalog.Pool
	model   string
	server  fleet.Entry
	speed   *loadbalance.KnownSpeed // of the server; see loadbalance.Choice
}

// errCallerDisconnected means that the caller no longer waits for the response.
var errCallerDisconnected = errors.New("caller disconnected")

// errResponseInterrupted means that a response failed after its header was sent to
// the caller.
var errResponseInterrupted = errors.New("response interrupted")

const (
	// callerDeadlineMargin is the part of the caller's timeout that is reserved for
	// returning the response.
	callerDeadlineMargin = 20 * clock.Millis(1)
	// minAttemptTime is the remaining time below which no attempt is made.
	minAttemptTime = 5 * clock.Millis(1)
)

// arrive admits the request by the configuration, and chooses the model that it starts with.
func (ex *exchange) arrive() error {
	r, req := ex.relay, ex.req
	ex.awaitTables()
	now := r.Clock.Now()
	route, account, err := r.match(r.View(), req)
	if err != nil {
		return err
	}
	ex.deadline = req.ReceivedAt + route.Timeout
	if req.Timeout > 0 {
		ex.deadline = min(ex.deadline, req.ReceivedAt+req.Timeout-callerDeadlineMargin)
	}
	ex.lastEventID = req.LastEventID
	ex.route, ex.account = route, account
	ex.setParts()
	ex.pool.Name = route.PoolAt(ex.poolPoint())
	ex.modelIndex = ex.firstModel(now)
	if r.rejecting.Load() {
		return result.New(result.Stopping, "this daemon is shutting down")
	}
	if exitAt, stopping := r.shutdownTime(); stopping && !ex.finishesBefore(exitAt, now) {
		return result.New(result.Stopping, "this daemon exits in %d ms", exitAt-now)
	}
	if rejection := ex.acquireMemory(); rejection != nil {
		return rejection
	}
	r.RetryBudget.RecordRequest(ex.pool.Name, now)
	ex.demand = r.Demand.Arrive(ex.demandClass(), ex.expectedWork(), now)
	return nil
}

// tablesPollPeriod is how often a request that waits for the tables checks them.
const tablesPollPeriod = 10 * clock.Millis(1)

// awaitTables waits for the tables to be read after a start of the daemon.
func (ex *exchange) awaitTables() {
	r := ex.relay
	until := admission.StartupHold(r.startedAt, ex.req.ReceivedAt, ex.req.Timeout)
	for !r.Loaded() && r.Clock.Now() < until && !r.isEnding() && ex.httpReq.Context().Err() == nil {
		clock.Sleep(ex.httpReq.Context(), tablesPollPeriod)
	}
}

// untilEnding returns a context that ends when the caller leaves or open requests are ended: the
// daemon may exit before a longer wait is over.
func (ex *exchange) untilEnding() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ex.httpReq.Context())
	stop := context.AfterFunc(ex.relay.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// sleep waits for the time, or until untilEnding.
func (ex *exchange) sleep(pause clock.Millis) {
	ctx, cancel := ex.untilEnding()
	defer cancel()
	clock.Sleep(ctx, pause)
}

// finishesBefore reports whether the response is expected to be complete when the
// daemon exits.
func (ex *exchange) finishesBefore(exitAt, now clock.Millis) bool {
	if ex.route.RetryPolicy == catalog.AtMostOnce {
		// The caller can't repeat it, so it must end here however long it takes.
		return ex.deadline <= exitAt
	}
	longest := clock.Millis(durationFactor * float64(ex.expectedDuration()))
	if !ex.route.Stream {
		return now+min(ex.route.Timeout, max(plainCallMaxTime, longest)) <= exitAt
	}
	return now < clock.Millis(ex.relay.noStreamsAfter.Load()) && now+longest <= exitAt
}

// durationFactor times its expected duration is allowed for a response: estimates of
// the length of a stream are often far off, and an overloaded pool is slower.
const durationFactor = 2.0

// plainCallMaxTime is the time in which most plain calls complete, though their routes may
// allow more.
const plainCallMaxTime = 1_500 * clock.Millis(1)

// expectedDuration returns the expected time to the complete response.
func (ex *exchange) expectedDuration() clock.Millis {
	pool, _ := ex.relay.View().Catalog.Pool(ex.route.PoolAt(ex.poolPoint()))
	models := ex.route.Models
	model := ex.req.Model
	if ex.req.AnyModel && len(models) > 0 {
		model = models[len(models)-1]
	}
	latency := ex.relay.Balancer.LatencyModel(pool.Name, model)
	return latency.FirstByte(ex.req.Prompt.Tokens) + ex.expectedStreamTime(pool, latency)
}

// expectedStreamTime returns the expected time from the first to the last event.
func (ex *exchange) expectedStreamTime(pool catalog.Pool, latency loadbalance.LatencyModel) clock.Millis {
	events := float64(ex.expectedTokens()) / float64(max(pool.TokensPerEvent, 1))
	return clock.Millis(events * latency.InterEventMs())
}

// expectedTokens returns the expected tokens of the response; their maximum if the caller
// states no estimate.
func (ex *exchange) expectedTokens() int {
	if ex.req.LengthHint > 0 {
		return ex.req.LengthHint
	}
	return ex.req.Prompt.MaxOutputTokens
}

// poolPoint returns the point, from 0 to 1, that selects the request's pool among the
// weighted shares of its route. All requests of a session have the same point.
func (ex *exchange) poolPoint() float64 {
	seed := ex.req.ID
	if ex.req.Session != "" {
		seed = ex.req.Session
	}
	return container.UnitHash(seed)
}

// priority returns the priority stated to the server: the client account's, or else the
// route's.
func (ex *exchange) priority() int {
	if ex.account.HasPriority {
		return min(max(ex.account.Priority, 0), 9)
	}
	return min(max(ex.route.Priority, 0), 9)
}
