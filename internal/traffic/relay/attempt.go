package relay

import (
	"context"
	"net/http"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// activeAttempt is an attempt that is under way. It holds a slot at its server until
// exchange.endAttempt.
type activeAttempt struct {
	choice    loadbalance.Choice
	startedAt clock.Millis
	call      *successorCall      // nil unless it was called while the server before was silent
	endRun    func(complete bool) // nil until the server is called
	ctx       context.Context     // of the call
	resp      *h1.Response        // nil until its header has arrived
	info      ResponseInfo        // in that header
}

// planNext begins the next attempt. It reports false if none can be made; the request may be
// retried then if err is nil.
func (ex *exchange) planNext() (begun bool, err error) {
	r := ex.relay
	now := r.Clock.Now()
	if ex.httpReq.Context().Err() != nil {
		return false, errCallerDisconnected
	}
	if ex.deadline-now < minAttemptTime {
		return false, ex.deadlineError()
	}
	if r.isEnding() {
		return false, ex.rejectionError(result.New(result.Stopping, "this daemon is shutting down"))
	}
	if ex.successor == nil {
		ex.successor, ex.called = ex.called, nil
	}
	inBudget := ex.successor != nil // it was taken from the retry budget when it was planned
	planned := ex.releaseOutdated(ex.successor, now)
	ex.successor = nil
	if planned == nil {
		var rejection *result.Error
		planned, now, rejection = ex.planOrWait(now)
		if rejection == nil && !inBudget {
			if rejection = ex.acquireRetry(planned, nil, now); rejection != nil {
				ex.release(planned)
			}
		}
		if rejection != nil {
			return false, ex.reject(rejection)
		}
	}
	ex.begin(planned, now)
	return true, nil
}

// begin makes the planned attempt the current one.
func (ex *exchange) begin(planned *plannedAttempt, now clock.Millis) {
	ex.current = &activeAttempt{choice: planned.choice, startedAt: now, call: planned.call}
	ex.placement = placement{
		view: planned.view, route: planned.route, account: planned.account, pool: planned.pool, model: planned.model,
		server: planned.choice.Server, speed: planned.choice.Speed,
	}
	ex.relay.VersionRouter.RecordPlacement(ex.req, &ex.server)
	if planned.call == nil {
		ex.relay.VersionRouter.RecordSent(ex.view, &ex.server, ex.route)
	} else {
		ex.current.startedAt = planned.call.sentAt
	}
	ex.demand.Start(now)
}

// call sends the request to the server of the current attempt. It reports whether the server
// has responded. If it has not and err is nil, the request may be retried.
func (ex *exchange) call() (responded bool, err error) {
	r, req := ex.relay, ex.req
	choice, startedAt := &ex.current.choice, ex.current.startedAt
	server := &choice.Server
	ctx, endRun := ex.startRun(server, ex.current.call, startedAt)
	ex.current.ctx, ex.current.endRun = ctx, endRun
	ex.unread = false
	timeout := ex.watchAttempt(choice, ex.headerTimeout(choice.ExpectedFirstByte), startedAt)
	resp, err := ex.doCall(ctx, server, timeout)
	if err != nil {
		ex.noteGivenUp(ctx, server, err)
	}
	if err != nil && ex.keptIsDue() {
		ex.recordExecution(server)
		ex.lastError = "the largest model was silent"
		return false, nil
	}
	if err != nil {
		return false, ex.handleCallError(choice, startedAt, err)
	}
	ex.current.resp = resp
	ex.reachedServer, ex.answeredAt = true, r.Clock.Now()
	r.Balancer.PrefillDone(choice)
	r.Metrics.recordFirstByte(ex.account.Name, r.Clock.Now()-req.ReceivedAt)
	if resp.Status < http.StatusMultipleChoices {
		ex.run.Begin(r.Clock.Now())
	}
	return true, nil
}

// doCall sends the request of the current attempt and returns the response once its header has
// arrived. A successor has been called before.
func (ex *exchange) doCall(ctx context.Context, server *fleet.Entry, timeout time.Duration) (*h1.Response, error) {
	if c := ex.current.call; c != nil {
		<-c.done
		return c.resp, c.err
	}
	ex.attempts++
	call := ex.newCall(server, ex.account, ex.model, ex.current.startedAt)
	call.HeaderDeadline = ex.headerDeadline(timeout, call.Deadline)
	return ex.relay.Client.Do(ctx, call)
}

// newCall returns the call of an attempt that is sent now, and whose response header is awaited
// until the request's deadline.
func (ex *exchange) newCall(server *fleet.Entry, account catalog.ClientAccount, model string, now clock.Millis) *h1.Call {
	r, req := ex.relay, ex.req
	attempt := Attempt{
		Server:      *server,
		Account:     account.Name,
		Remaining:   ex.deadline - now,
		Priority:    ex.priority(),
		LastEventID: ex.lastEventID,
	}
	if req.AnyModel {
		attempt.Model = model
	}
	deadline := ex.deadlineTime()
	return &h1.Call{
		Address:        server.Address,
		Method:         req.Method,
		Target:         req.Target,
		Host:           req.Host,
		Header:         r.Dialect.Encode(req, attempt),
		Body:           req.Body,
		ID:             req.ID,
		FreshConn:      ex.route.RetryPolicy == catalog.AtMostOnce,
		HeaderDeadline: deadline,
		Deadline:       deadline,
		OnSilence:      func() time.Duration { return ex.extendWait(server) },
	}
}

// forward forwards the response of the current attempt. It reports whether the caller has all
// of it. If it has not and err is nil, the request may be retried.
func (ex *exchange) forward() (done bool, err error) {
	a := ex.current
	if ex.route.Stream && a.resp.Status == http.StatusOK {
		return ex.forwardStream(&a.choice.Server, a.resp, a.info)
	}
	return ex.forwardBuffered(&a.choice.Server, a.resp)
}

// endAttempt ends the current attempt, if there is one: its place is free. complete reports
// that the caller has its complete response.
func (ex *exchange) endAttempt(complete bool) {
	a := ex.current
	if a == nil {
		return
	}
	ex.current = nil
	if a.resp != nil {
		a.resp.Close()
	}
	if a.endRun != nil {
		a.endRun(complete)
	}
	ex.freePlace(a)
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
