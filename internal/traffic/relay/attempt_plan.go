package relay

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// plannedAttempt is an attempt that holds a slot at its server until Balancer.Done, or
// Balancer.Cancel if it is not made.
type plannedAttempt struct {
	view    *fleet.View
	route   *catalog.Route
	account catalog.ClientAccount
	pool    catalog.Pool
	model   string
	choice  loadbalance.Choice
}

// match returns the request's route and client account by the newest configuration, which
// applies to retries too. A request whose last attempt was ended by the relay, and not by
// the server, keeps those of that attempt if the configuration no longer allows it.
func (ex *exchange) match(v *fleet.View) (*catalog.Route, catalog.ClientAccount, error) {
	route, account, err := ex.relay.match(v, ex.req)
	if err != nil && ex.replaced {
		return ex.route, ex.account, nil
	}
	return route, account, err
}

// planAttempt chooses a server for the next attempt. The error states why no attempt can be
// made. failed reports whether an earlier attempt gave no usable response.
func (ex *exchange) planAttempt(excluded func(id string) bool, failed bool, now clock.Millis) (*plannedAttempt, *result.Error) {
	r, req := ex.relay, ex.req
	ex.limited, ex.atCapacity = nil, false
	view := r.Balancer.WithoutDeparted(r.View(), now)
	route, account, err := ex.match(view)
	if err != nil {
		return nil, result.From(err)
	}
	if rejection := ex.checkQuarantine(now); rejection != nil {
		return nil, rejection
	}
	pool, ok := view.Catalog.Pool(route.PoolAt(ex.poolPoint()))
	if !ok {
		return nil, result.New(result.NoServer, "the pool of route %s does not exist", route.Name)
	}
	p := &plannedAttempt{view: view, route: route, account: account, pool: pool, model: ex.attemptModel(route)}
	var outcome loadbalance.Result
	p.choice, outcome = ex.choose(view, loadbalance.Request{
		Pool:           pool,
		DataCentre:     r.DataCentre,
		Self:           r.Host,
		Hosts:          view.HostNames(),
		Model:          p.model,
		Prompt:         req.Prompt,
		Salt:           container.Hash(req.ID),
		VersionAllowed: r.VersionRouter.AllowedVersions(view, pool.Name, req, failed),
		Tried:          excluded,
		Overdraft:      ex.overdraft,
		Now:            now,
	})
	ex.limited, ex.atCapacity = p.choice.Limited, outcome == loadbalance.AtCapacity
	switch outcome {
	case loadbalance.NoServer:
		return nil, result.New(result.NoServer, "pool %s has no server in service; %s", pool.Name, ex.lastError)
	case loadbalance.Paused:
		return nil, ex.pauseError(&pool, p.choice.PausedUntil, now)
	case loadbalance.RateLimited:
		return nil, result.New(result.RateLimited, "the servers of pool %s have used up their rate limits; %s", pool.Name, ex.lastError)
	case loadbalance.AtCapacity:
		rejection := result.New(result.Overloaded, "all servers of pool %s are full; %s", pool.Name, ex.lastError)
		return nil, rejection.WithRetryAfter(int64(r.Balancer.RetryAfter(view, pool, p.model, now)))
	case loadbalance.TooLarge:
		return nil, result.New(result.PromptTooLarge, "%d prompt tokens and up to %d of output, for servers of pool %s with %d",
			req.Prompt.Tokens, req.Prompt.MaxOutputTokens, pool.Name, pool.TokenMemory)
	case loadbalance.Chosen:
	}
	return p, nil
}

// choose chooses a server for the request. One whose version has used up its servers' rate
// limits goes to another version if it may.
func (ex *exchange) choose(view *fleet.View, request loadbalance.Request) (loadbalance.Choice, loadbalance.Result) {
	r := ex.relay
	choice, outcome := r.Balancer.Choose(view, request)
	if outcome != loadbalance.RateLimited {
		return choice, outcome
	}
	request.VersionAllowed = r.VersionRouter.OverflowVersions(view, request.Pool.Name, ex.req)
	if request.VersionAllowed == nil {
		return choice, outcome
	}
	if other, result := r.Balancer.Choose(view, request); result == loadbalance.Chosen {
		return other, result
	}
	return choice, outcome
}

// planFirstOrNext plans an attempt for a request that runs nowhere. If only the share of this
// daemon in servers' rate limits keeps the request from them, it borrows from others.
func (ex *exchange) planFirstOrNext(now clock.Millis) (*plannedAttempt, *result.Error) {
	planned, rejection := ex.planAttempt(ex.isExcluded, ex.backendFailed, now)
	if rejection == nil {
		return planned, nil
	}
	r := ex.relay
	for _, server := range ex.limited {
		if r.TokenLender.Borrow(ex.httpReq.Context(), &server) {
			planned, rejection = ex.planAttempt(ex.isExcluded, ex.backendFailed, r.Clock.Now())
			break
		}
	}
	if rejection != nil && rejection.Code == result.RateLimited {
		now := r.Clock.Now()
		wait := r.Balancer.ScheduleReturn(r.View(), ex.pool.Name, r.Host, ex.deadline-now, now)
		rejection = rejection.WithRetryAfter(int64(wait))
	}
	return planned, rejection
}

// pauseError returns the error of a request for which all servers of the pool asked for a
// pause; the first pause ends at the given time. A stream that has begun waits only for a
// pause that ends in time.
func (ex *exchange) pauseError(pool *catalog.Pool, until, now clock.Millis) *result.Error {
	code, waitsSince := result.Overloaded, now
	if ex.interruptedAt > 0 {
		waitsSince = ex.interruptedAt
	}
	if ex.headerSent && until >= min(ex.deadline, waitsSince+resumeWait) {
		code = result.DeadlineTooShort
	}
	rejection := result.New(code, "all servers of pool %s asked for a pause of %d ms; %s", pool.Name, until-now, ex.lastError)
	return rejection.WithRetryAfter(retryAfterAtLeast(until - now))
}

// acquireRetry takes the planned attempt from the retry budget if the request has
// reached a server before. If the budget is exhausted, or the route that applies now allows
// no further attempt, it releases the attempt. running is the server that the request still
// runs on; nil if there is none.
func (ex *exchange) acquireRetry(p *plannedAttempt, running *fleet.Entry, now clock.Millis) *result.Error {
	r := ex.relay
	used := len(ex.executedOn)
	if running != nil && !slices.Contains(ex.executedOn, running.ID) {
		used++
	}
	if used > 0 && (p.route.RetryPolicy == catalog.AtMostOnce || used >= max(p.route.MaxAttempts, 1)) {
		r.Balancer.Cancel(&p.choice)
		return result.New(result.BackendFailed, "route %s allows no further attempt; %s", p.route.Name, ex.lastError)
	}
	if ex.reachedServer && !r.RetryBudget.TryAcquire(p.pool.Name, now) {
		r.Balancer.Cancel(&p.choice)
		return result.New(result.BackendRefused, "the retry budget is exhausted; %s", ex.lastError)
	}
	return nil
}

// releaseOutdated releases an attempt that was planned before its server announced that it
// wants no more requests, or before the request was quarantined. It returns nil then.
func (ex *exchange) releaseOutdated(p *plannedAttempt, now clock.Millis) *plannedAttempt {
	if p == nil {
		return nil
	}
	if _, _, blocked := ex.relay.Quarantine.Blocked(ex.parts); !blocked && ex.relay.Balancer.StillAccepts(&p.choice, now) {
		return p
	}
	ex.log("planned attempt dropped", &p.choice.Server)
	ex.relay.Balancer.Cancel(&p.choice)
	return nil
}

// successorPeriod is how often a silent attempt is checked for a server that can take
// over.
const successorPeriod = 250 * clock.Millis(1)

// planSuccessor plans the attempt that takes over from one that the server is silent
// about. It reports false if there is none that is likelier to succeed: the request then
// stays where it is, since the server may only be slow. Going on there is no new work,
// so a configuration that no longer allows the request doesn't end it.
func (ex *exchange) planSuccessor(server *fleet.Entry) bool {
	now := ex.relay.Clock.Now()
	ex.reachedServer = true
	next, rejection := ex.planReplacement(server, now)
	if rejection == nil {
		rejection = ex.acquireRetry(next, server, now)
	}
	if rejection != nil {
		ex.logKept(server, rejection, now)
		return false
	}
	ex.releaseSuccessor()
	ex.successor = next
	return true
}

// planReplacement plans an attempt that is likelier to succeed than the one that still runs
// on the server. The error states why there is none.
func (ex *exchange) planReplacement(server *fleet.Entry, now clock.Millis) (*plannedAttempt, *result.Error) {
	if _, _, err := ex.relay.match(ex.relay.View(), ex.req); err != nil {
		return nil, result.From(err)
	}
	excluded := func(id string) bool { return id == server.ID || ex.isExcluded(id) }
	next, rejection := ex.planAttempt(excluded, true, now)
	switch {
	case rejection != nil:
	case next.pool.Name != ex.pool.Name:
		// The configuration has moved the route, which says nothing about the server.
		rejection = result.New(result.NoServer, "the route now leads to pool %s", next.pool.Name)
	case next.choice.LastResort || now+next.choice.ExpectedFirstByte >= ex.deadline:
		rejection = result.New(result.NoServer, "no server is likelier to respond in time")
	default:
		rejection = ex.checkSecondAttempt(server, next, now)
	}
	if rejection != nil && next != nil {
		ex.relay.Balancer.Cancel(&next.choice)
	}
	return next, rejection
}

// resumeWait is how long an interrupted stream waits for a server that can go on with it.
// A later event would miss the caller's target for pauses, and the caller may find another
// daemon that has a server.
const resumeWait = 2_500 * clock.Millis(1)

// The pause before an interrupted stream is planned again doubles from the minimum to the
// maximum: each attempt that a server refuses is taken from the retry budget.
const (
	minResumeDelay = 200 * clock.Millis(1)
	maxResumeDelay = 800 * clock.Millis(1)
)

// awaitServer sets a pause after which the rejected attempt is planned again. It reports
// false if the rejection is final: the caller has no part of a response and the relay has
// ended no attempt that would have gone on, or the request has been interrupted for too long.
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
		return false
	}
	ex.resumeDelay, ex.pause = delay, delay
	return true
}

// resumed records that a server goes on with the request.
func (ex *exchange) resumed() { ex.replaced, ex.interruptedAt, ex.resumeDelay = false, 0, 0 }

// logKept logs the first time that the request stays at a silent server.
func (ex *exchange) logKept(server *fleet.Entry, reason *result.Error, now clock.Millis) {
	if ex.keptOn == server.ID {
		return
	}
	ex.keptOn = server.ID
	ex.log("silent server kept", server, "reason", reason.Error(), "remaining_ms", int64(ex.deadline-now))
}

// releaseSuccessor drops the planned attempt, if there is one.
func (ex *exchange) releaseSuccessor() {
	if ex.successor != nil {
		ex.relay.Balancer.Cancel(&ex.successor.choice)
		ex.successor = nil
	}
}
