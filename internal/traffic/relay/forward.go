package relay

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// forwardBuffered reads the complete response before it forwards it, so that the
// request can be retried if the response is interrupted.
func (ex *exchange) forwardBuffered(server *fleet.Entry, resp *h1.Response) (bool, error) {
	if ex.sharesCapacity {
		return ex.forwardCounted(server, resp)
	}
	defer ex.held.release()
	body, err := ex.readBuffered(resp)
	if err == nil && !body.isLong && ex.isCutByExit(server, resp) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return false, ex.handleInterruption(server, err)
	}
	ex.startResponse(resp)
	if length := responseLength(ex.req.Method, resp, body.length); !body.isLong && length != "" {
		ex.w.Header().Set("Content-Length", length)
	}
	ex.w.WriteHeader(resp.Status)
	for _, block := range body.blocks {
		if _, err := ex.w.Write(block); err != nil {
			return false, errCallerDisconnected
		}
	}
	if body.isLong {
		if _, err := io.CopyBuffer(ex.w, resp, body.blocks[0][:blockBytes]); err != nil {
			return false, errors.Wrap(errResponseInterrupted, err.Error())
		}
		if ex.isCutByExit(server, resp) {
			return false, errors.Wrap(errResponseInterrupted, "its server ended with its connection")
		}
	}
	return true, nil
}

// responseLength returns the length to state for a complete body of that length; empty to state none. The
// response to a HEAD request has no body but states the length that another would have.
func responseLength(method string, resp *h1.Response, length int) string {
	if method == http.MethodHead {
		return resp.Header.Get("Content-Length")
	}
	return strconv.Itoa(length)
}

const (
	// idleTimeoutFactor times the route's target for the longest pause between events
	// is how long a stream may be silent before another server may take it over.
	idleTimeoutFactor = 1.25
	// minIdleTimeout allows for pauses while the server prefills the long prompts of
	// other requests.
	minIdleTimeout = 1_500 * clock.Millis(1)
)

// idleTimeout returns how long a stream may be silent before another server may take it
// over; 0 means until the deadline.
func (ex *exchange) idleTimeout(server *fleet.Entry) time.Duration {
	if !ex.mayRetryAfter(server) || ex.route.InterEventTarget <= 0 {
		return 0
	}
	return max(clock.Millis(idleTimeoutFactor*float64(ex.route.InterEventTarget)), minIdleTimeout).Duration()
}

// handleInterruption handles a response that was interrupted. It returns nil if the
// request may be retried.
func (ex *exchange) handleInterruption(server *fleet.Entry, err error) error {
	if ex.httpReq.Context().Err() != nil {
		return errCallerDisconnected
	}
	now := ex.relay.Clock.Now()
	if ex.run.Canceled() {
		return ex.quarantineError(server, true, now)
	}
	if ex.relay.isEnding() {
		return ex.endingError(server, true)
	}
	ex.lastError = "response interrupted: " + err.Error()
	cause := ex.interruptionCause(now)
	if cause != causeUnread && !ex.watch.yielded {
		ex.relay.Balancer.RecordServerError(server, now)
	}
	ex.relay.Metrics.countAttempt(ex.pool.Name, cause)
	ex.log("response interrupted", server, "cause", cause, "error", err.Error(), "last_event", ex.lastEventID, "answer_ms", int64(now-ex.answeredAt),
		"remaining_ms", int64(ex.deadline-now), "prompt_segments", ex.promptSegments(), "request_parts", ex.requestParts())
	if cause == causeServer || cause == causeUnread {
		ex.checkCrash(server, now)
	}
	if cause == causeUnread {
		if err := ex.awaitRoom(); err != nil {
			return err
		}
	}
	if ex.relay.Clock.Now() >= ex.deadline {
		return ex.executionError(result.New(result.BackendTimeout, "%s", ex.lastError))
	}
	return ex.recordFailedExecution(server)
}

// Causes of an interrupted response, in logs and metrics.
const (
	causeDeadline = "deadline"  // the request's deadline passed
	causeReplaced = "replaced"  // the server was silent and another attempt is planned
	causeServer   = "broke_off" // the server, or the connection to it
	causeUnread   = "unread"    // as causeServer, after reading was paused for the caller
)

// interruptionCause returns who ended the response that was interrupted at the time.
func (ex *exchange) interruptionCause(now clock.Millis) string {
	switch {
	case now >= ex.deadline:
		return causeDeadline
	case ex.successor != nil:
		return causeReplaced
	case ex.unread:
		return causeUnread
	}
	return causeServer
}

// isCutShort reports whether a stream that seems to have ended after a complete event was
// broken off. One that is framed by its connection shows no end of its own.
func (ex *exchange) isCutShort(server *fleet.Entry, resp *h1.Response) bool {
	return resp.CloseDelimited && ((!ex.headerSent && ex.lastEventID == "") || ex.isCutByExit(server, resp))
}

// isCutByExit reports whether the connection that frames the response ended with its server,
// by a crash or as it left: only a server that goes on afterwards has completed the response.
func (ex *exchange) isCutByExit(server *fleet.Entry, resp *h1.Response) bool {
	return resp.CloseDelimited && !ex.goesOn(server)
}

const (
	// exitTime is how long the connections of a process that exits may end one after the other.
	exitTime = 500 * time.Millisecond
	// exitPoll is the first time between two health checks in the exitTime. It doubles.
	exitPoll = 50 * time.Millisecond
)

// goesOn reports whether the server, whose connection has ended, still runs. The connections of
// a process that exits end one after the other, so one that leaves is asked.
func (ex *exchange) goesOn(server *fleet.Entry) bool {
	view, client := ex.relay.View(), ex.relay.Client
	ctx, cancel := ex.untilEnding()
	defer cancel()
	if current, known := view.Server(server.ID); known && current.StartedAt != server.StartedAt {
		return false
	}
	if ex.relay.isExpectedToRun(server) {
		return !client.Refuses(ctx, server.Address)
	}
	pool, _ := view.Catalog.Pool(server.Pool)
	end := time.Now().Add(exitTime)
	if deadline := ex.deadlineTime(); deadline.Before(end) {
		end = deadline
	}
	for poll := exitPoll; ; poll *= 2 {
		header, err := client.CheckHealth(ctx, server.Address, pool.HealthPath, end)
		var callErr *h1.CallError
		switch {
		case ctx.Err() != nil:
			return false
		case err == nil:
			id := ex.relay.Dialect.ServerID(header)
			return id == "" || id == server.ID
		case !errors.As(err, &callErr) || !callErr.Sent:
			return false
		case callErr.TimedOut:
			return true // the check waits for a slot
		case time.Until(end) < poll:
			// A process that exits would refuse connections by now. One that has as many as it
			// accepts ends new ones.
			return true
		}
		clock.Sleep(ctx, clock.Millis(poll.Milliseconds()))
	}
}

// startResponse sets the headers of the response to the caller.
func (ex *exchange) startResponse(resp *h1.Response) {
	ex.outliveEnding()
	maps.Copy(ex.w.Header(), ex.relay.Dialect.ResponseHeader(resp.Header))
	ex.headerSent, ex.status = true, resp.Status
}

// eventTimeSample is the number of events after which their mean inter-event time is
// recorded: the load of a pool can rise during a single long stream.
const eventTimeSample = 8

// recordEventTime records the mean inter-event time of the events received since the
// given time, the first of them at that time.
func (ex *exchange) recordEventTime(events int, since clock.Millis) {
	if events > 1 {
		now := ex.relay.Clock.Now()
		mean := float64(now-since) / float64(events-1)
		ex.relay.Balancer.RecordInterEvent(&ex.server, ex.model, mean, now)
	}
}

// errAttemptOver means that the daemon or the caller ended an attempt whose first events had arrived.
var errAttemptOver = errors.New("the attempt was ended")

// isAttemptOver reports whether the current attempt was ended, so that a response would be begun
// and at once broken off. If not, the end of open requests no longer ends it.
func (ex *exchange) isAttemptOver() bool { return !ex.outliveEnding() || ex.current.ctx.Err() != nil }

// nextEvents returns the next complete events of the stream; see eventReader.Next and checkEvents.
// io.EOF means that the stream is complete.
func (ex *exchange) nextEvents(source *eventReader, server *fleet.Entry, resp *h1.Response) (complete []byte, id string, err error) {
	complete, id, err = source.Next()
	if errors.Is(err, io.EOF) && ex.isCutShort(server, resp) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = ex.checkEvents(complete, id)
	}
	if err == nil && !ex.headerSent && ex.isAttemptOver() {
		err = errAttemptOver
	}
	return complete, id, err
}

// forwardStream forwards events as they arrive, and only complete ones, so that
// another server can continue an interrupted stream from the last of them.
func (ex *exchange) forwardStream(server *fleet.Entry, resp *h1.Response, info ResponseInfo) (bool, error) {
	idle := idleLimit{timeout: ex.watchStream(ex.idleTimeout(server)), resp: resp, clock: ex.relay.Clock}
	idle.restart()
	source := eventReader{source: resp, held: &ex.held}
	defer source.release()
	var progress streamProgress
	count, since := 0, ex.relay.Clock.Now()
	defer func() { ex.recordEventTime(count, since) }()
	meter := paceMeter{report: func(pace clock.Millis) { ex.recordPace(server, info, pace) }}
	defer meter.finish()
	for {
		complete, id, err := ex.nextEvents(&source, server, resp)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, ex.handleInterruption(server, err)
		}
		if hasEvent(complete) {
			ex.serverWentOn()
			idle.restart()
		} else if idle.exceeded() && ex.onSilence(server) == 0 {
			return false, ex.handleInterruption(server, errNoEvents)
		}
		ex.resumed()
		ex.run.Progress(ex.relay.Clock.Now())
		if !ex.headerSent {
			ex.startResponse(resp)
			ex.w.WriteHeader(resp.Status)
		}
		meter.recordEvent(ex.relay.Clock.Now())
		if count++; count > eventTimeSample {
			ex.recordEventTime(count, since)
			count, since = 1, ex.relay.Clock.Now()
		}
		paused, err := ex.writeBody(complete)
		if err != nil {
			return false, err
		}
		if id != "" {
			ex.lastEventID = id
		}
		switch {
		case paused:
			// The pause says nothing about the server.
			idle.restart()
			meter.end()
			count, since = 0, ex.relay.Clock.Now()
			progress = streamProgress{}
		case hasEvent(complete) && ex.planStreamInTime(server, &progress):
			return false, ex.handleInterruption(server, errBehindDeadline)
		}
	}
	if !ex.headerSent {
		ex.startResponse(resp)
		ex.w.WriteHeader(resp.Status)
	}
	return true, nil
}
