package relay

import (
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// keptAnswer is the complete answer of a small model. The caller gets it if the largest
// model's answer, for which it was to be discarded, doesn't begin in time or fails.
type keptAnswer struct {
	server fleet.Entry
	model  string
	status int
	header http.Header
	body   []byte
	until  clock.Millis // when the caller gets it
}

const (
	// keepTimeShare is the share of the latency target that may be spent on reading a small
	// model's answer to its end. Longer answers are discarded: reading them would delay the
	// largest model's.
	keepTimeShare = 0.1
	// keepUntilShare is the share of the latency target after which the caller gets the kept
	// answer, so that its first event is on time.
	keepUntilShare = 0.85
	maxKeptBytes   = 64 << 10
)

// keepAnswer reads the small model's answer to its end if it is short, in a pool whose load
// counts.
//
// Load pattern: pools that are filled within a second. Requests with short answers and short
// deadlines waited for the largest model until the deadline, though they had an answer.
func (ex *exchange) keepAnswer(server *fleet.Entry, resp *h1.Response, now clock.Millis) {
	r := ex.relay
	if !ex.route.Stream || resp.Status != http.StatusOK || resp.CloseDelimited || !r.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		return
	}
	longest := clock.Millis(keepTimeShare * float64(ex.route.LatencyTarget))
	until := ex.req.ReceivedAt + clock.Millis(keepUntilShare*float64(ex.route.LatencyTarget))
	model := ex.route.Models[ex.smallModel]
	if until <= now+longest || ex.expectedStreamTime(ex.pool, r.Balancer.LatencyModel(ex.pool.Name, model)) > longest {
		return
	}
	ex.keeping = true
	resp.LimitSilence(longest.Duration())
	body, err := readall.ReadAll(io.LimitReader(resp, maxKeptBytes), -1, &ex.keptMemory)
	ex.keeping = false
	if err == nil {
		err = ex.checkEvents(body, lastEventID(body))
	}
	switch {
	case err != nil:
		ex.keptMemory.release()
		ex.log("small answer not kept", server, "error", err.Error())
	case len(body) == maxKeptBytes || endOfLastEvent(body) != len(body):
		ex.keptMemory.release()
		ex.log("small answer not kept", server, "bytes", len(body))
	case !ex.keptMemory.Grow(resp.HeadMemory()):
		ex.keptMemory.release()
		ex.log("small answer not kept", server, "error", errNoMemory.Error())
	default:
		ex.kept = &keptAnswer{server: *server, model: model, status: resp.Status, header: resp.Header, body: body, until: until}
	}
}

// headerDeadline returns when the wait for a response header is checked first, after the
// timeout; at the latest when a kept answer is due.
func (ex *exchange) headerDeadline(timeout time.Duration, deadline time.Time) time.Time {
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if ex.kept != nil {
		due := time.Now().Add((ex.kept.until - ex.relay.Clock.Now()).Duration())
		if due.Before(deadline) {
			return due
		}
	}
	return deadline
}

// extendWait returns how much longer to wait for the silent server; 0 abandons the attempt.
func (ex *exchange) extendWait(server *fleet.Entry) time.Duration {
	switch {
	case ex.keeping || ex.keptIsDue():
		return 0
	case ex.kept != nil && !ex.headerSent:
		return max(ex.kept.until-ex.relay.Clock.Now(), 1).Duration()
	}
	return ex.onSilence(server)
}

// keptIsDue reports whether the caller gets the kept answer now.
func (ex *exchange) keptIsDue() bool {
	return ex.kept != nil && !ex.headerSent && ex.relay.Clock.Now() >= ex.kept.until
}

// serveKept forwards the kept answer after the attempt that was to replace it has ended
// without a response to the caller. err is the error of that attempt, if it has one. It
// returns false if the caller has disconnected.
func (ex *exchange) serveKept(err error) bool {
	if ex.headerSent || errors.Is(err, errCallerDisconnected) {
		return false
	}
	r, kept := ex.relay, ex.kept
	ex.log("small answer served after all", &kept.server, "reason", ex.lastError)
	r.Metrics.countAttempt(ex.pool.Name, "kept_answer")
	r.VersionRouter.RecordPlacement(ex.req, &kept.server)
	ex.server, ex.model = kept.server, kept.model
	maps.Copy(ex.w.Header(), r.Dialect.ResponseHeader(kept.header))
	ex.headerSent, ex.status = true, kept.status
	ex.w.WriteHeader(kept.status)
	_, err = ex.writeBody(kept.body)
	return err == nil
}
