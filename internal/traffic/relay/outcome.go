package relay

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// handleCallError handles a call that got no response. It returns nil if the request
// may be retried.
func (ex *exchange) handleCallError(choice *loadbalance.Choice, startedAt clock.Millis, err error) error {
	r := ex.relay
	server := &choice.Server
	now := r.Clock.Now()
	if ex.httpReq.Context().Err() != nil {
		return errCallerDisconnected
	}
	var callErr *h1.CallError
	if !errors.As(err, &callErr) {
		callErr = &h1.CallError{Sent: true, Err: err}
	}
	if ex.run.Canceled() {
		return ex.quarantineError(server, callErr.Sent, now)
	}
	if r.isEnding() {
		return ex.endingError(server, callErr.Sent)
	}
	ex.lastError = callErr.Error()
	r.Metrics.countAttempt(ex.pool.Name, "no_answer")
	ex.log("attempt failed", server, "sent", callErr.Sent, "reused", callErr.Reused, "error", callErr.Error(),
		"replaced", ex.successor != nil, "remaining_ms", int64(ex.deadline-now), "prompt_segments", ex.promptSegments(), "request_parts", ex.requestParts())
	ex.recordUnanswered(choice, callErr, startedAt, now)
	if !callErr.Sent {
		// Nothing reached the server, so this attempt does not use the retry budget.
		ex.recordNotExecuted(server)
		if len(ex.notExecutedOn) > maxUnreachable {
			return ex.reject(result.New(result.BackendRefused, "%d servers are unreachable; %s", len(ex.notExecutedOn), ex.lastError))
		}
		return nil
	}
	ex.reachedServer = true
	if !callErr.TimedOut {
		ex.checkCrash(server, now)
	}
	if callErr.TimedOut && ex.boundsLatency(choice, now-startedAt) {
		// The elapsed time is a lower bound of the response time.
		r.VersionRouter.RecordOutcome(ex.view, server, ex.route, ex.newOutcome(choice, ResponseInfo{}, false, now-startedAt))
	}
	return ex.recordFailedExecution(server)
}

// endingError ends a request whose attempt was ended by the exit of this daemon.
func (ex *exchange) endingError(server *fleet.Entry, mayHaveRun bool) error {
	ex.log("attempt ended by the exit of this daemon", server, "sent", mayHaveRun)
	if mayHaveRun {
		ex.recordExecution(server)
		return ex.executionError(result.New(result.BackendTimeout, "this daemon exits before the response is complete"))
	}
	return ex.rejectionError(result.New(result.Stopping, "this daemon is shutting down"))
}

// recordUnanswered reports a call that got no response to the Balancer.
func (ex *exchange) recordUnanswered(choice *loadbalance.Choice, callErr *h1.CallError, startedAt, now clock.Millis) {
	b := ex.relay.Balancer
	if callErr.Sent && callErr.TimedOut && ex.boundsLatency(choice, now-startedAt) {
		// The elapsed time is a lower bound of the response time.
		b.RecordFirstByte(choice, ex.model, now-startedAt, now)
	}
	switch {
	case ex.relay.Clock.Now() >= ex.deadline:
		// The request's deadline has passed; that is not the server's fault.
	case ex.watch.yielded:
		// The relay preferred another server, or the small model.
	case callErr.Sent && callErr.TimedOut:
		b.RecordServerError(&choice.Server, now)
	case !callErr.Reused || callErr.TimedOut:
		b.RecordNoAnswer(&choice.Server, now)
	}
}

// recordFailedExecution records that the request ran or may have run on the server
// without a usable response. It returns nil if the request may be retried.
func (ex *exchange) recordFailedExecution(server *fleet.Entry) error {
	ex.backendFailed, ex.replaced = true, ex.successor != nil
	ex.recordExecution(server)
	if ex.relay.Clock.Now() >= ex.deadline {
		return ex.executionError(result.New(result.BackendTimeout, "%s", ex.lastError))
	}
	if ex.route.RetryPolicy == catalog.AtMostOnce {
		return ex.executionError(result.New(result.BackendFailed, "%s", ex.lastError))
	}
	if len(ex.executedOn) >= max(ex.route.MaxAttempts, 1) {
		return ex.executionError(result.New(result.BackendFailed, "failed on %d servers; %s", len(ex.executedOn), ex.lastError))
	}
	if ex.executions > max(ex.route.MaxAttempts, 1) {
		// Servers are used again where a pool has few: one request must not take the retry
		// budget of all others.
		return ex.executionError(result.New(result.BackendFailed, "failed %d times; %s", ex.executions, ex.lastError))
	}
	return nil
}

// checkResponse records what the response header states, and reports whether the response can be
// forwarded. If it can't and err is nil, the request may be retried.
func (ex *exchange) checkResponse() (usable bool, err error) {
	r, a := ex.relay, ex.current
	choice, resp, startedAt := &a.choice, a.resp, a.startedAt
	server := &choice.Server
	now := r.Clock.Now()
	info := r.Dialect.Decode(server.ID, resp.Status, resp.Header)
	a.info = info
	ex.recordReport(choice, info, resp.Status, startedAt, now)
	ex.recordAnnouncement(server, info, startedAt, now)
	ex.confidence = info.Confidence
	if info.WrongServer || info.NotExecuted || info.Unverified {
		return false, ex.handleUnusable(server, resp, info, now)
	}
	failed := resp.Status >= http.StatusInternalServerError
	ex.recordOutcome(choice, info, failed, now-startedAt)
	switch {
	case ex.headerSent && resp.Status != http.StatusOK:
		// The caller has received events, which only further events may follow.
		return false, ex.recordFailure(server, http.StatusText(resp.Status)+" from the server")
	case impliesNotExecuted(resp.Status), failed && ex.mayRetryAfter(server) && ex.deadline-now > minAttemptTime:
		return false, ex.recordFailure(server, http.StatusText(resp.Status)+" from the server")
	}
	return true, nil
}

// recordReport records the load and the pace that the server reports, and the time to its
// response. The pace explains a part of that time, so it is recorded first.
func (ex *exchange) recordReport(choice *loadbalance.Choice, info ResponseInfo, status int, startedAt, now clock.Millis) {
	r := ex.relay
	r.Balancer.RecordReport(&choice.Server, loadbalance.ServerReport{
		HasLoad: info.HasLoad, Requests: info.Running + info.Waiting, Slots: info.Slots, ColdRemaining: info.ColdRemaining,
		Pace: info.Pace,
	}, now)
	if info.PaceKind != loadbalance.NoPace {
		r.Metrics.countPace(info.PaceKind)
	}
	if status < http.StatusMultipleChoices {
		r.Balancer.RecordFirstByte(choice, ex.model, now-startedAt, now)
	}
}

// recordAnnouncement records what the server states about the requests that it wants,
// whatever becomes of its response.
func (ex *exchange) recordAnnouncement(server *fleet.Entry, info ResponseInfo, sentAt, now clock.Millis) {
	r := ex.relay
	if info.PauseKind != NoPause {
		r.Metrics.countPause(info.PauseKind)
		ex.log("server asked for a pause", server, "kind", string(info.PauseKind), "pause_ms", int64(info.Pause))
	}
	if r.Balancer.RecordAnnouncement(server, loadbalance.Announcement{Leaving: info.Leaving, Pause: info.Pause}, now) {
		ex.log("server announced its exit", server)
	}
	if r.Balancer.RecordLimit(server, info.Limit, sentAt, now) {
		r.Metrics.countLimit(info.Limit.Kind)
		ex.log("server changed its rate limit", server, "kind", string(info.Limit.Kind), "per_second", info.Limit.PerSecond)
	}
}

// recordOutcome reports the attempt's result to the Balancer and the version
// router, unless the server only asked for a pause.
func (ex *exchange) recordOutcome(choice *loadbalance.Choice, info ResponseInfo, failed bool, elapsed clock.Millis) {
	r := ex.relay
	if info.TurnedAway {
		return
	}
	if failed {
		r.Balancer.RecordServerError(&choice.Server, r.Clock.Now())
	}
	r.VersionRouter.RecordOutcome(ex.view, &choice.Server, ex.route, ex.newOutcome(choice, info, failed, elapsed))
}

// handleUnusable handles a response that is not an answer to the request. It returns
// nil if the request may be retried.
func (ex *exchange) handleUnusable(server *fleet.Entry, resp *h1.Response, info ResponseInfo, now clock.Millis) error {
	r := ex.relay
	switch {
	case info.WrongServer:
		r.OnServerReplaced(server.ID, now)
		return ex.recordRefusal(server, "the address belongs to another server")
	case info.NotExecuted:
		if (resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests) && info.Pause == 0 {
			r.Balancer.RecordAtCapacity(server, now)
		}
		return ex.recordRefusal(server, "not run: "+http.StatusText(resp.Status))
	}
	r.Balancer.RecordServerError(server, now)
	return ex.recordFailure(server, "the response carries no proof that the server produced it")
}

const (
	// A response is slow if its header takes more than slowFactor times the expected
	// time plus slowSlack. Single responses are judged, since a bad version may be
	// several times slower in only some of them.
	slowFactor = 3
	slowSlack  = 60 * clock.Millis(1)
)

// isSlow reports whether the response header took several times as long as expected.
func isSlow(c *loadbalance.Choice, elapsed clock.Millis) bool {
	return c.HasEstimate && elapsed > slowFactor*c.TypicalFirstByte+slowSlack
}

// newOutcome returns the outcome of an attempt whose response header took that long.
func (ex *exchange) newOutcome(c *loadbalance.Choice, info ResponseInfo, failed bool, elapsed clock.Millis) Outcome {
	o := Outcome{Conclusive: true, Failed: failed || isSlow(c, elapsed), Error: failed}
	if c.HasEstimate {
		o.LatencyRatio = float64(max(elapsed, 1)) / float64(max(c.TypicalFirstByte, 1))
	}
	if !failed && ex.req.Prompt.Tokens == 0 && info.ColdRemaining == 0 {
		o.Latency = max(elapsed, 1)
	}
	return o
}

// impliesNotExecuted reports whether callers conclude from the status that the request
// did not run. Only the relay, or a server that states it explicitly, may assert that.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordRefusal records that the server did not run the request. It returns nil if
// the request may be retried.
func (ex *exchange) recordRefusal(server *fleet.Entry, reason string) error {
	ex.recordNotExecuted(server)
	ex.lastError = reason
	ex.log("server refused", server, "reason", reason)
	ex.relay.Metrics.countAttempt(ex.pool.Name, "not_run")
	if ex.headerSent || len(ex.notExecutedOn) > maxRefusals {
		return ex.reject(result.New(result.BackendRefused, "%d servers refused the request", len(ex.notExecutedOn)))
	}
	return nil
}

// recordFailure records that the server ran the request without a usable response. It
// returns nil if the request may be retried.
func (ex *exchange) recordFailure(server *fleet.Entry, reason string) error {
	ex.lastError = reason
	ex.log("server failed", server, "reason", reason)
	ex.relay.Metrics.countAttempt(ex.pool.Name, "failed")
	return ex.recordFailedExecution(server)
}

// maxRefusals is the number of servers that may refuse a request before it fails: each
// retry uses the shared retry budget.
const maxRefusals = 3

// maxUnreachable is the number of servers that may be unreachable before a request
// fails.
const maxUnreachable = 6

// mayRetryAfter reports whether the request may run on another server after it ran on
// the given one.
func (ex *exchange) mayRetryAfter(server *fleet.Entry) bool {
	return ex.route.RetryPolicy != catalog.AtMostOnce && ex.usedServers(server) < ex.route.MaxAttempts
}

// deadlineError returns the error of a request that has no time for another attempt.
func (ex *exchange) deadlineError() error {
	if ex.mayHaveExecuted {
		return ex.executionError(result.New(result.BackendTimeout, "no response before the deadline; %s", ex.lastError))
	}
	return ex.rejectionError(result.New(result.DeadlineTooShort, "no time left for an attempt; %s", ex.lastError))
}

// reject ends the request with the rejection. It returns nil if the request may be retried.
func (ex *exchange) reject(rejection *result.Error) error {
	if rejection.Code == result.CallerLeft {
		return errCallerDisconnected
	}
	if ex.fallBackToSmallModel(rejection) || ex.awaitServer(rejection) {
		return nil
	}
	return ex.rejectionError(rejection)
}

// rejectionError returns the error for a rejected request. A request that may have run is
// not reported as not run.
func (ex *exchange) rejectionError(rejection *result.Error) error {
	if ex.mayHaveExecuted && rejection.Code.Run == result.RunNo {
		return ex.executionError(result.New(result.BackendFailed, "%s", rejection.Detail))
	}
	if ex.headerSent {
		return ex.executionError(rejection)
	}
	return rejection
}

// executionError returns the error of a request that may have run, which is
// errResponseInterrupted once the response to the caller has begun.
func (ex *exchange) executionError(e *result.Error) error {
	if ex.headerSent {
		return errors.Wrap(errResponseInterrupted, e.Detail)
	}
	return e
}

// panicError returns the error of a request that the daemon panicked under.
func (ex *exchange) panicError(fault any) error {
	ex.relay.Log.Error("panic", "request", ex.req.ID, "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
	return ex.executionError(result.New(result.Internal, "a fault of the daemon"))
}

// finishWithError ends a request that has no complete response.
func (ex *exchange) finishWithError(err error) {
	ex.countOutcome(resultCode(err))
	hasLeft := errors.Is(err, errCallerDisconnected)
	unanswered := hasLeft || ex.headerSent
	ex.log("ended", nil, append([]any{"code", resultCode(err).Number, "error", err.Error()}, ex.unansweredFields(unanswered, err)...)...)
	if ex.headerSent {
		// Aborts the connection, so that the caller can't take the response for complete.
		panic(http.ErrAbortHandler)
	}
	e := result.From(err)
	if hasLeft {
		// It may have closed only its sending side, which can't be told from a close of both.
		ex.w.Header().Set("Connection", "close")
		e = result.New(result.CallerLeft, "the connection was closed by its caller")
	}
	if e.RetryAfterMs() > 0 {
		ex.w.Header().Set("Retry-After", ex.retryAfter(e))
	}
	result.Write(ex.w, e, ex.req.ID)
}
