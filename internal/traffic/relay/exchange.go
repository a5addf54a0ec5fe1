package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// exchange is the state of a request while it is served. It is used by one goroutine.
type exchange struct {
	relay   *Relay
	req     *Request
	httpReq *http.Request
	w       http.ResponseWriter

	controller *http.ResponseController // of w

	view     *fleet.View // of the last attempt
	route    *catalog.Route
	account  catalog.ClientAccount
	pool     catalog.Pool
	model    string       // of the last attempt
	deadline clock.Millis // for the complete response

	modelIndex      int                     // in the route's models, smallest first
	backendFailed   bool                    // some attempt may have run and gave no usable response
	attempts        int                     // calls made to servers
	reachedServer   bool                    // some call reached a server, or may have
	executions      int                     // runs that gave no usable response, or whose answer was discarded
	executedOn      []string                // servers on which the request ran or may have run
	notExecutedOn   []string                // servers that did not run it: they refused it or could not be reached
	mayHaveExecuted bool                    // it may have run on some server
	headerSent      bool                    // the response to the caller has begun
	status          int                     // HTTP status sent to the caller
	lastEventID     string                  // last event that was accepted for the caller
	confidence      int                     // stated in the last response, 0 to 100; -1 if none was
	lastError       string                  // why the last attempt failed
	server          fleet.Entry             // of the last attempt
	speed           *loadbalance.KnownSpeed // of that server; see loadbalance.Choice
	limited         []fleet.Entry           // servers that only their rate limits kept the last plan from
	answeredAt      clock.Millis            // when the last attempt's response header arrived
	atCapacity      bool                    // the last plan found all servers full
	overdraft       int                     // see admission.Overdraft; 0 unless the request waits

	parts   []quarantine.Part // see quarantine.Parts
	run     *quarantine.Run   // of the last attempt
	onTrial bool              // the next attempt may have a quarantined segment

	demand *demand.Request // in the ledger; nil before the route is known

	// successor is the next attempt, if it was planned while the last one still ran.
	successor *plannedAttempt
	// keptOn is the silent server that the request was last kept on.
	keptOn string
	// replaced reports that the relay ended the last attempt that ran, for a successor.
	replaced bool
	// interruptedAt is when the request began to wait for a server that goes on with it; 0
	// if it doesn't. resumeDelay is the last pause in that wait, and pause the one before the
	// next attempt.
	interruptedAt, resumeDelay, pause clock.Millis
	// escalation tells whether a small model's answer was discarded for the largest model's.
	escalation escalation
	smallModel int // index of the model whose answer was discarded
	kept       *keptAnswer
	keeping    bool // a small model's answer is being read to its end

	held   *heldMemory   // nil without shared capacity
	out    *streamBuffer // of the response; nil without shared capacity and before its first byte
	unread bool          // reading the last attempt's response was paused for the caller

	watch      attemptWatch // of the attempt that runs
	placedAnew bool         // another server was expected to be sooner; happens once
	events     int          // that the caller received
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

// serve makes attempts until the caller has a complete response or the request fails.
func (ex *exchange) serve() error {
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
	defer func() { ex.demand.End(r.Clock.Now()) }()
	defer ex.releaseSuccessor()
	for {
		fallback := ex.kept != nil
		done, err := ex.attempt()
		if !done && fallback && ex.serveKept(err) {
			return nil
		}
		if done || err != nil {
			return err
		}
		if ex.pause > 0 {
			clock.Sleep(ex.httpReq.Context(), ex.pause)
			ex.pause = 0
		}
	}
}

// tablesPollPeriod is how often a request that waits for the tables checks them.
const tablesPollPeriod = 10 * clock.Millis(1)

// awaitTables waits for the tables to be read after a start of the daemon.
func (ex *exchange) awaitTables() {
	r := ex.relay
	until := admission.StartupHold(r.startedAt, ex.req.ReceivedAt, ex.req.Timeout)
	for !r.Loaded() && r.Clock.Now() < until && ex.httpReq.Context().Err() == nil {
		clock.Sleep(ex.httpReq.Context(), tablesPollPeriod)
	}
}

// finishesBefore reports whether the response is expected to be complete when the
// daemon exits.
func (ex *exchange) finishesBefore(exitAt, now clock.Millis) bool {
	if !ex.route.Stream {
		return now+min(ex.route.Timeout, plainCallMaxTime) <= exitAt
	}
	longest := clock.Millis(streamTimeFactor * float64(ex.expectedDuration()))
	return now < clock.Millis(ex.relay.noStreamsAfter.Load()) && now+longest <= exitAt
}

// streamTimeFactor times its expected duration is allowed for a stream: estimates of
// its length are often far off, and an overloaded pool is slower.
const streamTimeFactor = 2.0

// plainCallMaxTime is the time in which plain calls complete, though their routes may
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

// attempt sends the request to one server. It reports whether the caller has the
// complete response. If it has not and err is nil, the request may be retried.
func (ex *exchange) attempt() (done bool, err error) {
	r := ex.relay
	now := r.Clock.Now()
	if ex.httpReq.Context().Err() != nil {
		return false, errCallerDisconnected
	}
	if ex.deadline-now < minAttemptTime {
		return false, ex.deadlineError()
	}
	inBudget := ex.successor != nil // it was taken from the retry budget when it was planned
	planned := ex.releaseOutdated(ex.successor, now)
	ex.successor = nil
	if planned == nil {
		var rejection *result.Error
		planned, now, rejection = ex.planOrWait(now)
		if rejection == nil && !inBudget {
			rejection = ex.acquireRetry(planned, nil, now)
		}
		if rejection != nil {
			return false, ex.reject(rejection)
		}
	}
	defer ex.endAttempt(&planned.choice, now)
	ex.view, ex.route, ex.account = planned.view, planned.route, planned.account
	ex.pool, ex.model, ex.server = planned.pool, planned.model, planned.choice.Server
	ex.speed = planned.choice.Speed
	r.VersionRouter.RecordPlacement(ex.req, &ex.server)
	ex.demand.Start(now)
	return ex.sendTo(&planned.choice, now)
}

// isExcluded reports whether the request must not be sent to the server again.
func (ex *exchange) isExcluded(id string) bool {
	return (ex.backendFailed && slices.Contains(ex.executedOn, id)) || slices.Contains(ex.notExecutedOn, id)
}

// sendTo calls the chosen server and forwards its response.
func (ex *exchange) sendTo(choice *loadbalance.Choice, startedAt clock.Millis) (done bool, err error) {
	r, req := ex.relay, ex.req
	server := &choice.Server
	ctx, endRun := ex.startRun(server, startedAt)
	defer func() { endRun(done && err == nil) }()
	attempt := Attempt{
		Server:      *server,
		Account:     ex.account.Name,
		Remaining:   ex.deadline - startedAt,
		Priority:    ex.priority(),
		LastEventID: ex.lastEventID,
	}
	if req.AnyModel {
		attempt.Model = ex.model
	}
	ex.attempts++
	ex.unread = false
	deadline := ex.deadlineTime()
	timeout := ex.watchAttempt(choice, ex.headerTimeout(choice.ExpectedFirstByte), startedAt)
	resp, err := r.Client.Do(ctx, &h1.Call{
		Address:        server.Address,
		Method:         req.Method,
		Target:         req.Target,
		Host:           req.Host,
		Header:         r.Dialect.Encode(req, attempt),
		Body:           req.Body,
		ID:             req.ID,
		FreshConn:      ex.route.RetryPolicy == catalog.AtMostOnce,
		HeaderDeadline: ex.headerDeadline(timeout, deadline),
		Deadline:       deadline,
		OnSilence:      func() time.Duration { return ex.extendWait(server) },
	})
	if err != nil {
		ex.noteGivenUp(ctx, err)
	}
	if err != nil && ex.keptIsDue() {
		ex.recordExecution(server)
		ex.lastError = "the largest model was silent"
		return false, nil
	}
	if err != nil {
		return false, ex.handleCallError(choice, startedAt, err)
	}
	defer resp.Close()
	ex.reachedServer, ex.answeredAt = true, r.Clock.Now()
	r.Balancer.PrefillDone(choice)
	r.Metrics.recordFirstByte(ex.account.Name, r.Clock.Now()-req.ReceivedAt)
	if resp.Status < http.StatusMultipleChoices {
		ex.run.Begin(r.Clock.Now())
	}
	return ex.handleResponse(choice, resp, startedAt)
}

const (
	// headerTimeoutFactor times the expected time to the response header, plus
	// headerTimeoutSlack, is how long a request that may be retried waits for it.
	headerTimeoutFactor = 3
	headerTimeoutSlack  = 700 * clock.Millis(1)
	// plainHeaderTimeoutSlack replaces headerTimeoutSlack for plain calls, whose
	// servers respond within tens of ms.
	plainHeaderTimeoutSlack = 100 * clock.Millis(1)
	// headerTimeoutTargetFactor times the route's latency target is the longest wait
	// while servers are not busy: a later response misses the target anyway, and lost
	// responses raise the expected time. A retry would give up the place in a busy
	// server's queue, so the wait there is at least twice the expected time.
	headerTimeoutTargetFactor = 1.5
)

// headerTimeout returns how long to wait for the response header before the request
// is retried on another server; 0 means until the deadline. Only a timeout reveals a
// server that has lost the response.
func (ex *exchange) headerTimeout(expected clock.Millis) time.Duration {
	if ex.route.RetryPolicy == catalog.AtMostOnce || len(ex.executedOn)+1 >= ex.route.MaxAttempts {
		return 0
	}
	slack := plainHeaderTimeoutSlack
	if ex.pool.HasEngines() {
		slack = headerTimeoutSlack
	}
	longest := max(clock.Millis(headerTimeoutTargetFactor*float64(ex.route.LatencyTarget)), 2*expected)
	return min(headerTimeoutFactor*expected+slack, longest).Duration()
}

// priority returns the priority stated to the server: the client account's, or else the
// route's.
func (ex *exchange) priority() int {
	if ex.account.HasPriority {
		return min(max(ex.account.Priority, 0), 9)
	}
	return min(max(ex.route.Priority, 0), 9)
}
