package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// lastAnswer is how long before its caller gives up a request is rejected at the latest, so
// that the caller learns that it has not run.
const lastAnswer = 20 * clock.Millis(1)

// planOrWait plans an attempt for a request that runs nowhere. With shared capacity it waits
// while the servers are full or other requests are to be served before it. A request whose
// response has begun doesn't wait here: see awaitServer. startAt is the time at which the
// attempt begins.
func (ex *exchange) planOrWait(now clock.Millis) (p *plannedAttempt, startAt clock.Millis, rejection *result.Error) {
	r, planner := ex.relay, attemptPlanner{ex: ex}
	if ex.headerSent || !r.Balancer.SharesCapacity() {
		planned, rejection := planner.planBorrowing(planRequest{now: now, paidLater: true})
		return planned, now, rejection
	}
	for {
		pool := r.waits.pool(r, ex.route.PoolAt(ex.poolPoint()))
		now = r.Clock.Now()
		if pool.queue.Len() == 0 || pool.queue.Ahead(ex.spec(pool.name), pool.conditions(now)) == 0 {
			planned, rejection := planner.planBorrowing(planner.waitingRequest(0, now))
			if rejection == nil {
				pool.queue.RecordStart(now)
			}
			if rejection == nil || !planner.atCapacity {
				return planned, now, rejection
			}
		}
		if planned, rejection, done := ex.wait(pool); done {
			return planned, r.Clock.Now(), rejection
		}
	}
}

// spec returns what the request asks of the pool.
func (ex *exchange) spec(pool string) admission.Spec {
	latency := ex.relay.Balancer.LatencyModel(pool, ex.attemptModel(ex.route))
	return admission.Spec{
		Account: ex.account.Name, Urgency: ex.priority(), Deadline: ex.deadline, Prefill: latency.PrefillTime(ex.req.Prompt.Tokens),
		StartBy: ex.forecast(pool, 0).StartBy(),
	}
}

// forecast returns the expected course of the request after the given wait.
func (ex *exchange) forecast(pool string, wait clock.Millis) admission.Forecast {
	r := ex.relay
	model := ex.attemptModel(ex.route)
	f := admission.Forecast{Now: r.Clock.Now(), Wait: wait, Deadline: ex.deadline - minAttemptTime}
	if ex.route.Stream && ex.route.RetryPolicy == catalog.Idempotent {
		f.AnswerBy = ex.req.ReceivedAt + admission.AnswerTime(ex.route.LatencyTarget, ex.route.InterEventTarget) - lastAnswer
	}
	latency, runTime := r.Balancer.LatencyModel(pool, model), r.Balancer.RunTime(pool, model)
	if latency.IsMeasured() {
		f.FirstByte = latency.FirstByte(ex.req.Prompt.Tokens)
	}
	if ex.route.Stream {
		f.Rest = max(runTime-f.FirstByte, 0)
		if p, ok := r.View().Catalog.Pool(pool); ok && latency.IsMeasured() && ex.req.LengthHint > 0 {
			f.Rest = ex.expectedStreamTime(p, latency)
		}
	}
	return f
}

// latestStart returns when a waiting request is rejected at the latest. The next check must come
// before its caller gives up.
func latestStart(f admission.Forecast) clock.Millis {
	latest := min(f.LatestStart(), f.Deadline-waitPeriod)
	if f.AnswerBy > 0 {
		latest = min(latest, f.AnswerBy-waitPeriod)
	}
	return latest
}

// wait waits in the pool's queue until the request has a place or must leave the queue. It
// returns false if the request is to be planned anew.
func (ex *exchange) wait(pool *waitPool) (*plannedAttempt, *result.Error, bool) {
	r := ex.relay
	now := r.Clock.Now()
	spec, conditions := ex.spec(pool.name), pool.conditions(now)
	ahead := pool.queue.Ahead(spec, conditions)
	forecast := ex.forecast(pool.name, pool.expectedWait(ahead, now))
	if forecast.IsTooLate() {
		if planned := ex.planLast(pool, pool.queue.Len()); planned != nil {
			return planned, nil, true
		}
		return nil, ex.rejectWaiting(pool, spec, reasonLateOnArrival), true
	}
	w := &waiter{signals: make(chan signal, 1), latestStart: latestStart(forecast)}
	// It is called by the goroutine that checks the queue, so it uses nothing of the exchange.
	w.forecast = func(wait clock.Millis) admission.Forecast {
		f := forecast
		f.Now, f.Wait = r.Clock.Now(), wait
		return f
	}
	w.constrained = r.VersionRouter.AllowedVersions(r.View(), pool.name, "", ex.req, ex.backendFailed) != nil
	entry, evicted := pool.queue.Add(w, spec, conditions)
	if evicted != nil {
		evicted.Value.evicted.Store(true)
		evicted.Value.notify(checkSignal)
	}
	ex.logWaiting(pool, spec, ahead, forecast)
	r.Metrics.addWaiting(pool.name, spec.Urgency, 1)
	defer func() {
		pool.queue.Leave(entry)
		pool.finishTurn(entry, true)
		r.Metrics.addWaiting(pool.name, spec.Urgency, -1)
		r.Metrics.recordWait(spec.Urgency, spec.Account, r.Clock.Now()-now)
	}()
	pool.startTicking()
	pool.wake()
	for {
		select {
		case <-ex.httpReq.Context().Done():
			ex.logWaited(pool, entry, "caller disconnected")
			return nil, result.New(result.CallerLeft, "the caller disconnected while the request waited"), true
		case s := <-w.signals:
			planned, rejection, done := ex.handleSignal(pool, entry, s)
			if done {
				return planned, rejection, planned != nil || rejection != nil
			}
		}
	}
}

// handleSignal follows a signal to the waiting request. It reports whether the wait is over;
// the request is planned anew if it then has neither an attempt nor a rejection.
func (ex *exchange) handleSignal(pool *waitPool, entry *waiting, s signal) (*plannedAttempt, *result.Error, bool) {
	if rejection, done := ex.checkWaiting(pool, entry); done {
		return nil, rejection, true
	}
	if reason := ex.lateReason(entry, s); reason != "" {
		pool.queue.Leave(entry)
		if planned := ex.planLast(pool, pool.queue.Len()); planned != nil {
			ex.logWaited(pool, entry, "admitted at last, "+reason)
			return planned, nil, true
		}
		ex.logWaited(pool, entry, reason)
		return nil, ex.rejectWaiting(pool, entry.Spec, reason), true
	}
	if s != trySignal {
		return nil, nil, false
	}
	now := ex.relay.Clock.Now()
	targetLeft := ex.req.ReceivedAt + ex.route.LatencyTarget - now
	planner := attemptPlanner{ex: ex}
	planned, rejection := planner.plan(planner.waitingRequest(admission.Overdraft(targetLeft, ex.forecast(pool.name, 0).FirstByte), now))
	switch {
	case rejection == nil:
		pool.queue.RecordStart(now)
		pool.queue.Admit(entry, pool.conditions(now))
		ex.logWaited(pool, entry, "admitted")
		return planned, nil, true
	case planner.atCapacity:
		pool.finishTurn(entry, false)
		return nil, nil, false
	}
	// The servers are not full but lost, paused or limited, which is handled as without a queue.
	ex.logWaited(pool, entry, rejection.Error())
	planned, rejection = planner.planBorrowing(planRequest{now: now, paidLater: true})
	if rejection != nil && planner.atCapacity {
		return nil, nil, true
	}
	return planned, rejection, true
}

// waitingRequest returns the plan of an attempt of a request that may wait instead, and may take
// that many places beyond the daemon's part of the pool.
func (a *attemptPlanner) waitingRequest(overdraft int, now clock.Millis) planRequest {
	return planRequest{now: now, overdraft: overdraft, paidLater: true, check: func(p *plannedAttempt) *result.Error {
		if !a.ex.waitsForBetter(p, now) {
			return nil
		}
		a.atCapacity = true
		return result.New(result.Overloaded, "all other servers of pool %s are full", p.pool.Name)
	}}
}

// waitsForBetter reports whether the attempt has only an ejected server or one that the request
// was sent to before, while others are just full. A request that fails there again uses up its
// attempts while it could wait.
func (ex *exchange) waitsForBetter(p *plannedAttempt, now clock.Millis) bool {
	if !p.choice.LastResort {
		return false
	}
	r := ex.relay
	room := r.Balancer.Room(p.view, loadbalance.Request{
		Pool: p.pool, Self: r.Host, Hosts: p.view.HostNames(), Model: p.model, Tried: ex.isExcluded, Now: now,
		VersionAllowed: r.VersionRouter.AllowedVersions(p.view, p.pool.Name, p.route.Name, ex.req, ex.backendFailed),
	})
	return room.Servers > 0
}

// planLast plans an attempt of a request that would be rejected: while nothing else waits, it
// may take any place that is known to be free. It returns nil if there is none.
func (ex *exchange) planLast(pool *waitPool, waiting int) *plannedAttempt {
	overdraft := admission.LastOverdraft(waiting)
	if overdraft == 0 {
		return nil
	}
	now := ex.relay.Clock.Now()
	planner := attemptPlanner{ex: ex}
	planned, rejection := planner.plan(planner.waitingRequest(overdraft, now))
	if rejection != nil {
		return nil
	}
	pool.queue.RecordStart(now)
	return planned
}

// checkWaiting reports whether the waiting request must leave the queue, and the rejection if
// it isn't to be planned anew.
func (ex *exchange) checkWaiting(pool *waitPool, entry *waiting) (*result.Error, bool) {
	r := ex.relay
	now := r.Clock.Now()
	if ex.httpReq.Context().Err() != nil {
		ex.logWaited(pool, entry, "caller disconnected")
		return result.New(result.CallerLeft, "the caller disconnected while the request waited"), true
	}
	if r.rejecting.Load() {
		ex.logWaited(pool, entry, "shutdown")
		return result.New(result.Stopping, "this daemon is shutting down"), true
	}
	if exitAt, stopping := r.shutdownTime(); stopping && !ex.finishesBefore(exitAt, now) {
		ex.logWaited(pool, entry, "shutdown")
		return result.New(result.Stopping, "this daemon exits in %d ms", exitAt-now), true
	}
	route, account, err := ex.match(r.View())
	if err != nil {
		ex.logWaited(pool, entry, err.Error())
		return result.From(err), true
	}
	if route.PoolAt(ex.poolPoint()) != pool.name || account.Name != entry.Spec.Account {
		ex.route, ex.account = route, account
		ex.logWaited(pool, entry, "the configuration has changed")
		return nil, true
	}
	return nil, false
}

// lateReason returns why there is no place in time for the waiting request; empty if there may
// be one.
func (ex *exchange) lateReason(entry *waiting, s signal) string {
	switch {
	case entry.Value.evicted.Load():
		return reasonQueueFull
	case s == lateSignal || ex.relay.Clock.Now() >= entry.Value.latestStart:
		return reasonLate
	}
	return ""
}

// Reasons of rejections, in logs and metrics.
const (
	reasonLateOnArrival = "late_on_arrival" // its response can't be in time after the requests that wait
	reasonLate          = "late"            // its response can't be in time any more
	reasonQueueFull     = "queue_full"
)

// rejectWaiting returns the rejection of a request for which there is no place in time.
func (ex *exchange) rejectWaiting(pool *waitPool, spec admission.Spec, reason string) *result.Error {
	r := ex.relay
	now := r.Clock.Now()
	conditions := pool.conditions(now)
	usage := conditions.Usage(spec.Account)
	forecast := ex.forecast(pool.name, 0)
	wait := pool.returns.Schedule(admission.Return{
		Rank:  admission.Rank{Excess: usage.Excess, Urgency: spec.Urgency},
		Ahead: pool.queue.Ahead(spec, conditions), StartsPerSecond: pool.startsPerSecond(now), Forecast: forecast,
	})
	code := result.RejectedForDeadline
	if usage.Excess {
		code = result.RejectedForAccount
	}
	ex.logRejected(pool, spec, reason, code, wait)
	r.Metrics.countRejection(pool.name, reason, code)
	return result.New(code, "no place in pool %s in time; %s", pool.name, ex.lastError).WithRetryAfter(int64(wait))
}

// freePlace returns the place of the attempt, which has ended, to the requests that wait.
func (ex *exchange) freePlace(a *activeAttempt) {
	r := ex.relay
	r.Balancer.Done(&a.choice)
	if !r.Balancer.SharesCapacity() {
		return
	}
	server := &a.choice.Server
	if ex.answeredAt >= a.startedAt {
		r.Balancer.RecordRunTime(server.Pool, ex.model, r.Clock.Now()-a.startedAt)
	}
	r.waits.pool(r, server.Pool).wake()
}

// accountUsage returns what the account uses of a pool with that room, from all daemons.
func (r *Relay) accountUsage(pool, account string, room loadbalance.Room, now clock.Millis) admission.Usage {
	if r.Demand == nil || account == "" {
		return admission.Usage{}
	}
	share := r.Demand.Share(demand.Class{Pool: pool, Account: account}, float64(max(room.Slots, 1)), now)
	if !share.Competing {
		return admission.Usage{}
	}
	return admission.Usage{Ratio: share.Used / max(share.Fair, minFairShare), Excess: share.Excess()}
}

// minFairShare is the least fair share of an account that its use is divided by, in ms of
// server time per ms.
const minFairShare = 0.001

// logWaiting logs that the request begins to wait.
func (ex *exchange) logWaiting(pool *waitPool, spec admission.Spec, ahead int, f admission.Forecast) {
	room := pool.roomFor(f.Now)
	usage := ex.relay.accountUsage(pool.name, spec.Account, room, f.Now)
	ex.log("request waits", nil, "wait_pool", pool.name, "account", spec.Account, "urgency", spec.Urgency, "excess", usage.Excess, "usage", usage.Ratio,
		"ahead", ahead, "queue", pool.queue.Len(), "expected_wait_ms", int64(f.Wait), "remaining_ms", int64(ex.deadline-f.Now),
		"slots", room.Slots, "busy", room.Busy, "queued", room.Queued, "starts_per_second", int(room.StartsPerSecond),
		"room_age_ms", int64(room.Age), "servers", room.Servers, "known", room.Known)
}

// logWaited logs why the request no longer waits.
func (ex *exchange) logWaited(pool *waitPool, entry *waiting, why string) {
	now := ex.relay.Clock.Now()
	ex.log("request no longer waits", nil, "wait_pool", pool.name, "account", entry.Spec.Account, "urgency", entry.Spec.Urgency,
		"wait_ms", int64(now-entry.Since), "why", why, "queue", pool.queue.Len(), "remaining_ms", int64(ex.deadline-now))
}

// logRejected logs that the request is rejected.
func (ex *exchange) logRejected(pool *waitPool, spec admission.Spec, reason string, code result.Code, returnAfter clock.Millis) {
	ex.log("request rejected", nil, "wait_pool", pool.name, "account", spec.Account, "urgency", spec.Urgency, "reason", reason,
		"code", code.Number, "return_after_ms", int64(returnAfter), "queue", pool.queue.Len())
}
