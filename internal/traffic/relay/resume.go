package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// resumeWait is how long a request waits for a server that can go on with it. A later event
// would miss the caller's target for pauses, and the caller may find another daemon that has a
// server. A stream whose server the relay gave up waits until its deadline: that server would
// have gone on.
const resumeWait = 2_500 * clock.Millis(1)

// The pause before an interrupted stream is planned again doubles from the minimum to the
// maximum, and after resumeWait up to that: each attempt that a server refuses is taken from
// the retry budget.
const (
	minResumeDelay = 200 * clock.Millis(1)
	maxResumeDelay = 800 * clock.Millis(1)
)

// resumption is the wait for a server that goes on with a request.
type resumption struct {
	replaced      bool         // the relay ended the last attempt that ran, for a successor
	interruptedAt clock.Millis // when the wait began; 0 if the request doesn't wait
	resumeDelay   clock.Millis // the last pause in the wait
	pause         clock.Millis // before the next attempt
}

// resumed records that a server goes on with the request.
func (w *resumption) resumed() { w.replaced, w.interruptedAt, w.resumeDelay = false, 0, 0 }

// awaitServer sets a pause after which the rejected attempt is planned again. It reports
// false if the rejection is final: the caller has no part of a response and the relay has
// ended no attempt that would have gone on, or the request has been interrupted for too long.
// For a stream whose attempt the relay ended, only its deadline is final.
func (ex *exchange) awaitServer(rejection *result.Error) bool {
	switch rejection.Code {
	case result.NoServer, result.Overloaded, result.RateLimited, result.BackendRefused:
	default:
		return false
	}
	if !ex.headerSent && !ex.replaced {
		return false
	}
	now := ex.relay.Clock.Now()
	if ex.interruptedAt == 0 {
		ex.interruptedAt = now
		ex.log("waiting for a server", nil, "reason", rejection.Error(), "last_event", ex.lastEventID, "remaining_ms", int64(ex.deadline-now))
	}
	delay := min(max(2*ex.resumeDelay, minResumeDelay), maxResumeDelay)
	if now+delay >= min(ex.interruptedAt+resumeWait, ex.deadline) {
		if !ex.headerSent || !ex.replaced {
			return false
		}
		delay = min(max(2*ex.resumeDelay, minResumeDelay), resumeWait, max(ex.deadline-now, 1))
	}
	ex.resumeDelay, ex.pause = delay, delay
	return true
}

// pauseError returns the error of a request for which all servers of the pool asked for a
// pause; the first pause ends at the given time. A stream that has begun and that its server
// broke off waits only for a pause that ends in time.
func (ex *exchange) pauseError(pool *catalog.Pool, until, now clock.Millis) *result.Error {
	code, waitsSince := result.Overloaded, now
	if ex.interruptedAt > 0 {
		waitsSince = ex.interruptedAt
	}
	if ex.headerSent && !ex.replaced && until >= min(ex.deadline, waitsSince+resumeWait) {
		code = result.DeadlineTooShort
	}
	rejection := result.New(code, "all servers of pool %s asked for a pause of %d ms; %s", pool.Name, until-now, ex.lastError)
	return rejection.WithRetryAfter(retryAfterAtLeast(until - now))
}
