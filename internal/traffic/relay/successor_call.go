package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// successorCall is the call of a planned attempt that is made while the server before it, which
// is silent, still has the request. Its response may be used once done is closed.
type successorCall struct {
	sentAt clock.Millis
	run    *quarantine.Run
	cancel context.CancelFunc
	done   chan struct{} // closed when resp or err is set
	resp   *h1.Response
	err    error
}

// hasEnded reports whether the call has its response header or an error.
func (c *successorCall) hasEnded() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// abandon ends the call, whatever has become of it.
func (c *successorCall) abandon(now clock.Millis) {
	c.cancel()
	c.run.End(false, now)
	go func() {
		<-c.done
		if c.resp != nil {
			c.resp.Close()
		}
	}()
}

// successorPoll is how often a called successor is looked at. Once it has accepted the request,
// both servers work on it until the next look.
const successorPoll = 50 * clock.Millis(1)

// callSuccessor calls a successor of the silent server that streams to the caller. Until it has
// accepted the request the server keeps it: it may go on, while all others refuse.
func (ex *exchange) callSuccessor(server *fleet.Entry) {
	now := ex.relay.Clock.Now()
	if now < ex.callAgainAt {
		return
	}
	next, rejection := ex.planReplacement(server, now)
	if rejection != nil {
		ex.logKept(server, rejection, now)
		return
	}
	next.call = ex.startCall(next, now)
	ex.called = next
}

// nextLook returns when the silence of the server is looked at next.
func (ex *exchange) nextLook() time.Duration {
	if ex.called != nil {
		return successorPoll.Duration()
	}
	if pause := ex.callAgainAt - ex.relay.Clock.Now(); pause > 0 {
		return min(pause, successorPeriod).Duration()
	}
	return successorPeriod.Duration()
}

// startCall sends the request to the server of the planned attempt.
func (ex *exchange) startCall(p *plannedAttempt, now clock.Millis) *successorCall {
	r, server := ex.relay, &p.choice.Server
	ctx, cancel := context.WithCancel(ex.httpReq.Context())
	c := &successorCall{sentAt: now, cancel: cancel, done: make(chan struct{})}
	c.run = r.Quarantine.Start(serverStart(server), ex.parts, false, cancel, now)
	ex.attempts++
	r.VersionRouter.RecordSent(p.view, server, p.route)
	call := ex.newCall(server, p.account, p.model, now)
	go func() {
		defer close(c.done)
		c.resp, c.err = r.Client.Do(ctx, call)
	}()
	return c
}

// takeCalled makes the called successor the next attempt if it has accepted the request, and
// drops it if it has not.
func (ex *exchange) takeCalled() bool {
	p := ex.called
	if !p.call.hasEnded() {
		return false
	}
	ex.called = nil
	if ex.checkCalled(p) {
		ex.releaseSuccessor()
		ex.successor = p
		return true
	}
	now := ex.relay.Clock.Now()
	ex.refused = true
	ex.successorPause = min(max(2*ex.successorPause, minResumeDelay), maxResumeDelay)
	ex.callAgainAt = now + ex.successorPause
	ex.release(p)
	return false
}

// checkCalled reports whether the called server has accepted the request, and records what has
// become of it otherwise.
func (ex *exchange) checkCalled(p *plannedAttempt) bool {
	r, server, c := ex.relay, &p.choice.Server, p.call
	now := r.Clock.Now()
	if c.err != nil {
		outcome := "not_run"
		var callErr *h1.CallError
		if !errors.As(c.err, &callErr) || callErr.Sent {
			ex.recordExecution(server)
			outcome = "no_answer"
		}
		if !c.run.Canceled() && ex.httpReq.Context().Err() == nil {
			r.Balancer.RecordNoAnswer(server, now)
		}
		ex.recordDropped(server, outcome, c.err.Error())
		return false
	}
	info := r.Dialect.Decode(server.ID, c.resp.Status, c.resp.Header)
	isRefusal := info.WrongServer || info.NotExecuted
	if !isRefusal && !info.Unverified && c.resp.Status == http.StatusOK {
		return true
	}
	ex.recordReport(&p.choice, info, c.resp.Status, c.sentAt, now)
	ex.recordAnnouncement(server, info, c.sentAt, now)
	switch {
	case info.WrongServer:
		r.OnServerReplaced(server.ID, now)
	case isRefusal && info.Pause == 0:
		r.Balancer.RecordAtCapacity(server, now)
	case !isRefusal:
		ex.recordExecution(server)
		r.Balancer.RecordServerError(server, now)
	}
	outcome := "not_run"
	if !isRefusal {
		outcome = "failed"
	}
	ex.recordDropped(server, outcome, http.StatusText(c.resp.Status))
	return false
}

// recordDropped logs and counts a called server that doesn't take the request over.
func (ex *exchange) recordDropped(server *fleet.Entry, outcome, reason string) {
	ex.log("successor dropped", server, "outcome", outcome, "reason", reason, "last_event", ex.lastEventID)
	ex.relay.Metrics.countAttempt(ex.pool.Name, outcome)
}

// serverWentOn notes that the silent server has gone on.
func (ex *exchange) serverWentOn() {
	ex.abandonCalled()
	ex.refused, ex.successorPause, ex.callAgainAt = false, 0, 0
}

// abandonCalled ends the call of a successor, since the server before goes on or the request has
// ended. It may have run.
func (ex *exchange) abandonCalled() {
	p := ex.called
	if p == nil {
		return
	}
	ex.called = nil
	if !p.call.hasEnded() || ex.checkCalled(p) {
		ex.recordExecution(&p.choice.Server)
	}
	ex.release(p)
}
