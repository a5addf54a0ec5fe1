package relay

import (
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// errBehindDeadline means that a stream would have been cut off by its deadline.
var errBehindDeadline = errors.New("the stream would miss its deadline")

// attemptWatch is what is known of the attempt that runs, in a pool whose load counts.
type attemptWatch struct {
	choice     *loadbalance.Choice
	progressAt clock.Millis // when the request was sent, or its last event arrived
	timeout    clock.Millis // silence since progressAt after which the request may be lost; 0 for never
	streaming  bool         // the header of the response has arrived
	// yielded reports that the relay ended the attempt for another one, without evidence
	// that the server failed.
	yielded bool
}

// watchAttempt begins to watch an attempt whose response header is overdue after the timeout,
// and returns when the server's silence is first checked; 0 for never.
func (ex *exchange) watchAttempt(choice *loadbalance.Choice, timeout time.Duration, now clock.Millis) time.Duration {
	ex.watch = attemptWatch{choice: choice, progressAt: now, timeout: clock.Millis(timeout.Milliseconds())}
	if timeout > 0 && ex.relay.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		return min(timeout, successorPeriod.Duration())
	}
	return timeout
}

// watchStream returns when the silence of a stream that is overdue after the timeout is first
// checked; 0 for never.
func (ex *exchange) watchStream(timeout time.Duration) time.Duration {
	now := ex.relay.Clock.Now()
	ex.watch.streaming, ex.watch.progressAt, ex.watch.timeout = true, now, clock.Millis(timeout.Milliseconds())
	if timeout > 0 && ex.relay.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		return min(timeout, (ex.route.InterEventTarget / 2).Duration())
	}
	return timeout
}

// onSilence decides what becomes of a request whose server is silent. It returns how long
// the server may go on being silent; 0 once another attempt is planned.
func (ex *exchange) onSilence(server *fleet.Entry) time.Duration {
	if ex.relay.isEnding() {
		return successorPeriod.Duration() // no other attempt may begin
	}
	now := ex.relay.Clock.Now()
	if ex.called != nil && ex.takeCalled() {
		return 0
	}
	if ex.called != nil {
		return successorPoll.Duration()
	}
	if ex.relay.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		if ex.planSmallInTime(server, now) {
			return 0
		}
		if present, _ := ex.compareWith(nil, now); !present.MayBeginSooner() {
			ex.recordKeptInFullPool(server, present, now)
			return successorPeriod.Duration()
		}
	}
	if ex.planSuccessor(server) {
		return 0
	}
	return ex.nextLook()
}

// recordKeptInFullPool records, once for each server, that only the pool's utilisation keeps the
// request there.
func (ex *exchange) recordKeptInFullPool(server *fleet.Entry, c loadbalance.Replacement, now clock.Millis) {
	c.Next = 0
	if ex.keptOn == server.ID || !c.KeptInFullPool() {
		return
	}
	ex.relay.Metrics.countSecondAttempt(ex.pool.Name, secondFullPool)
	ex.logKept(server, result.New(result.NoServer, "the pool is full: utilisation %.2f, waited %d ms of %d", c.Utilisation, c.Waited, c.Expected), now)
}

// compareWith compares the attempt that runs with the planned one; with nil, only the former's
// values are set.
func (ex *exchange) compareWith(next *plannedAttempt, now clock.Millis) (c loadbalance.Replacement, present loadbalance.Forecast) {
	w, b := &ex.watch, ex.relay.Balancer
	present = b.Forecast(w.choice, ex.pool, ex.model, now)
	c = loadbalance.Replacement{Waited: now - w.progressAt, Expected: present.FirstByte, Remaining: ex.deadline - now}
	c.Lost = w.timeout > 0 && c.Waited >= w.timeout
	c.Target = ex.req.ReceivedAt + ex.route.LatencyTarget - now
	c.Utilisation = b.Utilisation(ex.view, ex.pool.Name, ex.relay.VersionRouter.AllowedVersions(ex.view, ex.pool.Name, ex.route.Name, ex.req, true), now).Load
	if w.streaming {
		// The server's pending prefill delays all of its streams; nothing else explains a pause.
		c.Expected, c.Overdue = clock.Millis(b.LatencyModel(ex.pool.Name, ex.model).InterEventMs())+present.Prefill, true
		c.Target = ex.route.InterEventTarget - c.Waited
	}
	if next != nil {
		c.Next = b.Forecast(&next.choice, next.pool, next.model, now).FirstByte
	}
	return c, present
}

// checkSecondAttempt returns why the planned attempt isn't expected to respond sooner than the
// one that runs. An attempt before the present one may count as lost is made once, and leaves
// the reserve of the retry budget.
func (ex *exchange) checkSecondAttempt(server *fleet.Entry, next *plannedAttempt, now clock.Millis) *result.Error {
	r := ex.relay
	if !r.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		return nil
	}
	if ex.escalation == escalated && !ex.headerSent && len(ex.executedOn)+2 >= ex.route.MaxAttempts {
		return result.New(result.NoServer, "the last attempt is kept for the small model")
	}
	c, present := ex.compareWith(next, now)
	if !c.Lost && c.BeginsSooner() && !ex.placedAnew && !r.RetryBudget.AllowsSecondAttempt(ex.pool.Name, c.BudgetPart(), now) {
		if ex.keptOn != server.ID {
			r.Metrics.countSecondAttempt(ex.pool.Name, secondNoBudget)
		}
		return result.New(result.NoServer, "second attempts have used their part %.2f of the retry budget: waited %d ms of %d, %d ms elsewhere",
			c.BudgetPart(), c.Waited, c.Expected, c.Next)
	}
	if (!c.Lost && ex.placedAnew) || !c.BeginsSooner() {
		if ex.keptOn != server.ID {
			r.Metrics.countSecondAttempt(ex.pool.Name, secondRefused)
		}
		return result.New(result.NoServer, "no server is expected to begin sooner: waited %d ms of %d, %d ms elsewhere, %d requests in %d slots, loads %d ms old",
			c.Waited, c.Expected, c.Next, present.Calls, present.Slots, present.Age)
	}
	outcome := secondLost
	if !c.Lost {
		ex.placedAnew, ex.watch.yielded, outcome = true, true, secondSooner
		r.RetryBudget.RecordSecondAttempt(ex.pool.Name, now)
	}
	r.Metrics.countSecondAttempt(ex.pool.Name, outcome)
	ex.log("second attempt planned", server, "outcome", outcome, "to", next.choice.Server.ID, "waited_ms", int64(c.Waited), "expected_ms", int64(c.Expected),
		"next_ms", int64(c.Next), "calls", present.Calls, "slots", present.Slots, "load_age_ms", int64(present.Age), "load_known", present.Known,
		"remaining_ms", int64(c.Remaining), "utilisation", c.Utilisation)
	return nil
}

// boundsLatency reports whether an attempt without a response, which ended after the elapsed
// time, says something about the latency: one that the relay ended sooner than a response was
// expected doesn't.
func (ex *exchange) boundsLatency(c *loadbalance.Choice, elapsed clock.Millis) bool {
	return !ex.watch.yielded || elapsed > c.ExpectedFirstByte
}

// smallAnswerFactor times the expected time of the small model's answer is kept for it while
// the largest model is awaited.
const smallAnswerFactor = 1.5

// smallAnswerTime returns the time that the small model's answer may take, with the period in
// which silent servers are checked.
func (ex *exchange) smallAnswerTime(small string, now clock.Millis) clock.Millis {
	b := ex.relay.Balancer
	latency := b.LatencyModel(ex.pool.Name, small)
	complete := latency.FirstByte(ex.req.Prompt.Tokens) + ex.expectedStreamTime(ex.pool, latency)
	wait := b.Utilisation(ex.view, ex.pool.Name, ex.relay.VersionRouter.AllowedVersions(ex.view, ex.pool.Name, ex.route.Name, ex.req, true), now).Wait(complete)
	return clock.Millis(smallAnswerFactor*float64(wait+complete)) + successorPeriod
}

// planSmallInTime plans to request the small model again if the largest one, for which its
// answer was discarded, is silent and little more time is left than the small one needs. It
// reports false if there is no need or no server.
func (ex *exchange) planSmallInTime(server *fleet.Entry, now clock.Millis) bool {
	if ex.escalation != escalated || ex.headerSent || ex.watch.streaming || len(ex.route.Models) == 0 {
		return false
	}
	small := ex.route.Models[min(ex.smallModel, len(ex.route.Models)-1)]
	needed := ex.smallAnswerTime(small, now)
	latency := ex.relay.Balancer.LatencyModel(ex.pool.Name, small)
	least := latency.FirstByte(ex.req.Prompt.Tokens) + ex.expectedStreamTime(ex.pool, latency)
	// The next check would be too late. A request without the time for any answer stays.
	if left := ex.deadline - now; left > needed+successorPeriod || left < least {
		return false
	}
	ex.reachedServer = true
	largest := ex.modelIndex
	ex.modelIndex = ex.smallModel
	next, rejection := ex.plan(planRequest{now: now, running: server, excluded: []string{server.ID}, failed: true})
	if rejection != nil {
		ex.modelIndex = largest
		ex.logKept(server, rejection, now)
		return false
	}
	ex.releaseSuccessor()
	ex.successor, ex.escalation, ex.watch.yielded = next, fellBack, true
	ex.relay.Metrics.countSecondAttempt(ex.pool.Name, secondSmall)
	ex.log("fell back to the small model", server, "reason", "its answer must be in time", "to", next.choice.Server.ID,
		"needed_ms", int64(needed), "remaining_ms", int64(ex.deadline-now))
	return true
}

// streamProgress measures the pace of a stream over periods of progressPeriod or more.
type streamProgress struct {
	events int
	since  clock.Millis
	pace   loadbalance.StreamPace
}

const (
	// progressPeriod is longer than most pauses for the prefill of other prompts.
	progressPeriod = 1_000 * clock.Millis(1)
	// minProgressEvents is the least number of events in a period.
	minProgressEvents = 2
)

// record counts an event. At the end of a period it returns the stream's time between events in
// ms, once there are enough periods, and 0 otherwise.
func (p *streamProgress) record(now clock.Millis) float64 {
	if p.since == 0 {
		p.since = now
		return 0
	}
	if p.events++; p.events < minProgressEvents || now-p.since < progressPeriod {
		return 0
	}
	mean := float64(now-p.since) / float64(p.events)
	p.events, p.since = 0, now
	return p.pace.Record(mean)
}

// planStreamInTime plans to resume a stream on another server if it would be cut off by its
// deadline on the present one and is expected to end in time there. It does so once, and not
// for a stream that began at another daemon: how many events it has had is unknown.
func (ex *exchange) planStreamInTime(server *fleet.Entry, progress *streamProgress) bool {
	r := ex.relay
	now := r.Clock.Now()
	ex.watch.progressAt = now
	ex.events++
	interEvent := progress.record(now)
	if interEvent == 0 || r.isEnding() || ex.placedAnew || ex.lastEventID == "" || ex.req.LastEventID != "" || !ex.mayRetryAfter(server) || !r.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		return false
	}
	remaining := float64(ex.expectedTokens())/float64(max(ex.pool.TokensPerEvent, 1)) - float64(ex.events)
	c := loadbalance.StreamReplacement{Events: remaining, InterEvent: interEvent, Remaining: ex.deadline - now}
	if !c.MissesDeadline() || !r.RetryBudget.AllowsSecondAttempt(ex.pool.Name, c.BudgetPart(), now) {
		return false
	}
	next, rejection := ex.plan(planRequest{now: now, running: server, excluded: []string{server.ID}, failed: true, check: func(next *plannedAttempt) *result.Error {
		latency := r.Balancer.LatencyModel(next.pool.Name, next.model)
		f := r.Balancer.Forecast(&next.choice, next.pool, next.model, now)
		c.Next = f.FirstByte + latency.PrefillTime(ex.events*ex.pool.TokensPerEvent)
		c.NextInterEvent = latency.InterEventMs() * max(f.Slowness, 1)
		if next.choice.LastResort || next.pool.Name != ex.pool.Name || !c.FinishesSooner() {
			return result.New(result.NoServer, "no server is expected to end the stream in time: %d ms and %.0f ms an event", c.Next, c.NextInterEvent)
		}
		return nil
	}})
	if rejection != nil {
		ex.logKept(server, rejection, now)
		return false
	}
	ex.releaseSuccessor()
	ex.successor, ex.placedAnew, ex.watch.yielded = next, true, true
	r.RetryBudget.RecordSecondAttempt(ex.pool.Name, now)
	r.Metrics.countSecondAttempt(ex.pool.Name, secondStream)
	ex.log("stream placed anew", server, "to", next.choice.Server.ID, "events_left", c.Events, "inter_event_ms", c.InterEvent,
		"next_ms", int64(c.Next), "next_inter_event_ms", c.NextInterEvent, "remaining_ms", int64(c.Remaining))
	return true
}
