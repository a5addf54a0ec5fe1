package relay

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// minQuarantineRetry is the least retry time stated for a quarantined request.
const minQuarantineRetry = 5_000 * clock.Millis(1)

// crashSuspicion is what a request that crashes its servers is recognised and stopped by.
type crashSuspicion struct {
	parts   []quarantine.Part // see quarantine.Parts
	run     *quarantine.Run   // of the last attempt
	onTrial bool              // the next attempt may have a quarantined segment
	// outliveEnding detaches the last attempt from Relay.EndRequests.
	outliveEnding func() bool
}

// setParts sets what the request has in common with others, by its route and account.
func (ex *exchange) setParts() {
	req := ex.req
	ex.parts = quarantine.Parts(req.Prompt, quarantine.Content{
		Route: ex.route.Name, Account: ex.account.Name, Method: req.Method, Host: req.Host, Target: req.Target, Body: req.Body,
	})
}

// requestParts returns the names of the parts that are the request's content.
func (ex *exchange) requestParts() (names []string) {
	for _, part := range ex.parts {
		if part.IsRequest() {
			names = append(names, part.String())
		}
	}
	return names
}

// checkQuarantine returns the error of a request that must not reach a server, because it or
// a segment of its prompt crashes servers. Only a first attempt can be let through on trial.
func (ex *exchange) checkQuarantine(now clock.Millis) *result.Error {
	part, q, blocked := ex.relay.Quarantine.Blocked(ex.parts)
	if !blocked || ex.onTrial {
		return nil
	}
	if ex.attempts == 0 && ex.relay.Quarantine.TryTrial(ex.parts, now) {
		ex.onTrial = true
		ex.log("quarantined request tried", nil, "prompt_segments", ex.promptSegments(), "request_parts", ex.requestParts())
		return nil
	}
	rejection := result.New(result.PromptQuarantined, "a segment of the prompt is quarantined; %s", ex.lastError)
	if part.IsRequest() {
		rejection = result.New(result.RequestQuarantined, "the request is quarantined; %s", ex.lastError)
	}
	return rejection.WithRetryAfter(retryAfterAtLeast(max(q.TrialAt()-now, minQuarantineRetry)))
}

// startRun notes that the request is sent to the server. The context that it returns also
// ends when the request or a segment of its prompt is quarantined. That of a successor which
// has been called before has its own.
func (ex *exchange) startRun(server *fleet.Entry, called *successorCall, now clock.Millis) (ctx context.Context, end func(complete bool)) {
	ctx, cancel := context.WithCancel(ex.httpReq.Context())
	run := (*quarantine.Run)(nil)
	if called != nil {
		run = called.run
		context.AfterFunc(ctx, called.cancel)
	} else {
		run = ex.relay.Quarantine.Start(serverStart(server), ex.parts, ex.onTrial, cancel, now)
	}
	ex.run, ex.onTrial = run, false
	if !ex.headerSent {
		ex.outliveEnding = context.AfterFunc(ex.relay.ending, cancel)
	}
	return ctx, func(complete bool) {
		run.End(complete, ex.relay.Clock.Now())
		ex.outliveEnding()
		cancel()
	}
}

// noteGivenUp notes that the attempt was ended before the response header, if it failed with the
// error because its time or its context ended. The server may still run the request and crash. An
// attempt whose server broke off is over.
func (ex *exchange) noteGivenUp(ctx context.Context, server *fleet.Entry, err error) {
	var callErr *h1.CallError
	isCallErr := errors.As(err, &callErr)
	if isCallErr && !callErr.Sent {
		return
	}
	if ctx.Err() != nil || (isCallErr && callErr.TimedOut) {
		now := ex.relay.Clock.Now()
		// A crash is noticed up to a period after it, at the end of the watch too.
		until := min(ex.deadline, now+maxOutlived) + crashWatchPeriod
		ex.run.GiveUp(now, until+crashWatchPeriod)
		ex.relay.watchServer(*server, until)
	}
}

const (
	// maxOutlived bounds how long a server counts as running an attempt that was given up:
	// most drop a request when its connection closes.
	maxOutlived = 2_000 * clock.Millis(1)
	// crashWatchPeriod is the time between two looks at a server that may still run one. A
	// server that has crashed is back after some seconds.
	crashWatchPeriod = 500 * clock.Millis(1)
)

// watchServer looks until then whether the server crashes under an attempt that was given up.
// No other attempt may be there whose end would show it.
func (r *Relay) watchServer(server fleet.Entry, until clock.Millis) {
	start := serverStart(&server)
	if !r.isExpectedToRun(&server) || !r.crashWatches.extend(start, until) {
		return
	}
	go func() {
		for r.crashWatches.goesOn(start, r.Clock.Now()) {
			clock.Sleep(r.ending, crashWatchPeriod)
			if r.isEnding() {
				return
			}
			if r.Client.Refuses(r.ending, server.Address) {
				r.checkCrash(&server, r.Clock.Now())
				r.crashWatches.end(start)
			}
		}
	}()
}

// quarantineError ends a request whose attempt was ended by a quarantine.
func (ex *exchange) quarantineError(server *fleet.Entry, mayHaveRun bool, now clock.Millis) error {
	ex.relay.Metrics.countAttempt(ex.pool.Name, "quarantined")
	ex.log("attempt ended by a quarantine", server, "prompt_segments", ex.promptSegments(), "request_parts", ex.requestParts())
	if mayHaveRun {
		ex.recordExecution(server)
	}
	ex.lastError = "the attempt was ended"
	rejection := ex.checkQuarantine(now)
	if rejection == nil { // released in the meantime
		rejection = result.New(result.PromptQuarantined, "%s", ex.lastError)
	}
	return ex.rejectionError(rejection)
}

func serverStart(server *fleet.Entry) quarantine.ServerStart {
	return quarantine.ServerStart{ID: server.ID, StartedAt: server.StartedAt}
}

// isExpectedToRun reports whether nothing is known that would make the server end by itself.
func (r *Relay) isExpectedToRun(server *fleet.Entry) bool {
	current, known := r.View().Server(server.ID)
	return known && !current.Draining && current.StartedAt == server.StartedAt && !r.Balancer.IsLeaving(server)
}

// checkCrash checks whether the server, which broke off an answer, has crashed and notes the
// requests that may have caused it. The request waits for the result.
func (ex *exchange) checkCrash(server *fleet.Entry, now clock.Millis) {
	if ex.relay.isExpectedToRun(server) {
		ex.relay.checkCrash(server, now)
		ex.relay.crashChecks.wait(ex.httpReq.Context(), serverStart(server))
	}
}

// checkCrash begins to check whether the server has crashed, if it is expected to run.
func (r *Relay) checkCrash(server *fleet.Entry, now clock.Millis) {
	if !r.isExpectedToRun(server) {
		return
	}
	start := serverStart(server)
	if crash, suspicious := r.Quarantine.Suspect(start, now); suspicious {
		crash.Pool, crash.Servers = server.Pool, len(r.View().Pool(server.Pool))
		r.crashChecks.run(start, func() {
			if !r.Client.Refuses(context.Background(), server.Address) {
				return
			}
			r.Metrics.countCrash(server.Pool)
			r.Log.Warn("server crashed", "server", server.ID, "pool", server.Pool, "begun", crash.Begun, "suspects", len(crash.Suspects))
			LogQuarantines(r.Log, r.Quarantine.Confirm(crash, now, r.Clock.Now()))
		})
	}
}

// LogQuarantines logs what was quarantined and what was released.
func LogQuarantines(log hclog.Logger, changes []quarantine.Change) {
	for _, c := range changes {
		kind, change := "prompt segment", "released"
		if c.Part.IsRequest() {
			kind = "request"
		}
		if c.Quarantined {
			change = "quarantined"
		}
		log.Warn(kind+" "+change, "part", c.Part.String(), "reason", c.Reason, "crashes", c.Crashes, "score", c.Score,
			"hold_ms", int64(c.Quarantine.Hold))
	}
}
