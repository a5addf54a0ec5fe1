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

// planRequest describes an attempt that is to be planned.
type planRequest struct {
	now      clock.Millis
	running  *fleet.Entry // server that the request still runs on; nil if it runs nowhere
	excluded []string     // servers that are not chosen, besides those of exchange.isExcluded
	failed   bool         // the attempt that still runs counts as one without a usable response
	// overdraft is the number of places that may be taken beyond the daemon's part of the
	// pool; see admission.Overdraft.
	overdraft int
	// check returns why the attempt doesn't serve its purpose at the chosen server; nil
	// accepts every server.
	check func(*plannedAttempt) *result.Error
	// paidLater leaves the retry budget to the caller. A request that waits for a place is
	// charged only once it has one.
	paidLater bool
}

// plannedAttempt is an attempt that holds a slot at its server until Balancer.Done, or
// exchange.release if it is not made.
type plannedAttempt struct {
	view    *fleet.View
	route   *catalog.Route
	account catalog.ClientAccount
	pool    catalog.Pool
	model   string
	choice  loadbalance.Choice
	call    *successorCall // nil unless it has been made
}

// release frees the slot of an attempt that is not made, or whose response isn't used.
func (ex *exchange) release(p *plannedAttempt) {
	if p.call == nil {
		ex.relay.Balancer.Cancel(&p.choice)
		return
	}
	p.call.abandon(ex.relay.Clock.Now())
	ex.relay.Balancer.Done(&p.choice)
}

// attemptPlanner plans attempts of an exchange. Its fields describe the last plan.
type attemptPlanner struct {
	ex         *exchange
	limited    []fleet.Entry // servers that only their rate limits exclude, if no server was chosen
	atCapacity bool          // all servers are full
}

// plan plans an attempt that is made at once or replaces the one that runs. The error states
// why no attempt can be made.
func (ex *exchange) plan(q planRequest) (*plannedAttempt, *result.Error) {
	a := attemptPlanner{ex: ex}
	return a.plan(q)
}

// plan checks, in this order, whether the newest configuration allows the request, whether it
// is quarantined, whether a server has free capacity, whether the attempt serves its purpose
// there, and whether the route and the retry budget allow another attempt.
func (a *attemptPlanner) plan(q planRequest) (*plannedAttempt, *result.Error) {
	a.limited, a.atCapacity = nil, false
	p, rejection := a.configure(q.now)
	if rejection == nil {
		rejection = a.chooseServer(p, &q)
	}
	if rejection != nil {
		return nil, rejection
	}
	if q.check != nil {
		rejection = q.check(p)
	}
	if rejection == nil && !q.paidLater {
		rejection = a.ex.acquireRetry(p, q.running, q.now)
	}
	if rejection != nil {
		a.ex.release(p)
		return nil, rejection
	}
	return p, nil
}

// configure returns an attempt without a server, by the newest configuration, if the request
// is not quarantined.
func (a *attemptPlanner) configure(now clock.Millis) (*plannedAttempt, *result.Error) {
	ex := a.ex
	view := ex.relay.Balancer.WithoutDeparted(ex.relay.View(), now)
	route, account, err := ex.match(view)
	if err != nil {
		return nil, result.From(err)
	}
	if rejection := ex.checkQuarantine(now); rejection != nil {
		return nil, rejection
	}
	pool, ok := view.Catalog.Pool(route.PoolAt(ex.poolPoint()))
	if !ok && ex.keepsRoute() && route == ex.route {
		pool, ok = ex.pool, true
	}
	if !ok {
		return nil, result.New(result.NoServer, "the pool of route %s does not exist", route.Name)
	}
	return &plannedAttempt{view: view, route: route, account: account, pool: pool, model: ex.attemptModel(route)}, nil
}

// chooseServer takes a slot at a server for the attempt.
func (a *attemptPlanner) chooseServer(p *plannedAttempt, q *planRequest) *result.Error {
	ex := a.ex
	r, req := ex.relay, ex.req
	var outcome loadbalance.Result
	p.choice, outcome = ex.choose(p.view, loadbalance.Request{
		Pool:           p.pool,
		DataCentre:     r.DataCentre,
		Self:           r.Host,
		Hosts:          p.view.HostNames(),
		Model:          p.model,
		Prompt:         req.Prompt,
		Salt:           container.Hash(req.ID),
		VersionAllowed: r.VersionRouter.AllowedVersions(p.view, p.pool.Name, p.route.Name, req, q.failed || ex.backendFailed),
		Tried:          func(id string) bool { return slices.Contains(q.excluded, id) || ex.isExcluded(id) },
		Overdraft:      q.overdraft,
		Now:            q.now,
	})
	a.limited, a.atCapacity = p.choice.Limited, outcome == loadbalance.AtCapacity
	return ex.choiceError(p, outcome, q.now)
}

// choiceError returns why no server was chosen for the attempt; nil if one was.
func (ex *exchange) choiceError(p *plannedAttempt, outcome loadbalance.Result, now clock.Millis) *result.Error {
	pool := &p.pool
	switch outcome {
	case loadbalance.NoServer:
		return result.New(result.NoServer, "pool %s has no server in service; %s", pool.Name, ex.lastError)
	case loadbalance.Paused:
		return ex.pauseError(pool, p.choice.PausedUntil, now)
	case loadbalance.RateLimited:
		return result.New(result.RateLimited, "the servers of pool %s have used up their rate limits; %s", pool.Name, ex.lastError)
	case loadbalance.AtCapacity:
		rejection := result.New(result.Overloaded, "all servers of pool %s are full; %s", pool.Name, ex.lastError)
		return rejection.WithRetryAfter(int64(ex.relay.Balancer.RetryAfter(p.view, *pool, p.model, now)))
	case loadbalance.TooLarge:
		return result.New(result.PromptTooLarge, "%d prompt tokens and up to %d of output, for servers of pool %s with %d",
			ex.req.Prompt.Tokens, ex.req.Prompt.MaxOutputTokens, pool.Name, pool.TokenMemory)
	case loadbalance.Chosen:
	}
	return nil
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

// planBorrowing plans an attempt for a request that runs nowhere. If only the share of this
// daemon in servers' rate limits keeps the request from them, it borrows from others.
func (a *attemptPlanner) planBorrowing(q planRequest) (*plannedAttempt, *result.Error) {
	planned, rejection := a.plan(q)
	if rejection == nil {
		return planned, nil
	}
	ex, r := a.ex, a.ex.relay
	for _, server := range a.limited {
		if r.TokenLender.Borrow(ex.httpReq.Context(), &server) {
			q.now = r.Clock.Now()
			planned, rejection = a.plan(q)
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

// keepsRoute reports whether the relay itself looks for another server for a request that its
// server would have gone on with.
func (ex *exchange) keepsRoute() bool { return ex.replaced || ex.refused }

// match returns the request's route and client account by the newest configuration, which
// applies to retries too. A request whose last attempt was ended by the relay, and not by
// the server, keeps those of that attempt if the configuration no longer allows it. If its
// response has begun it keeps its route as well: another may lead to servers that can't go on
// with it, or allow no further attempt.
func (ex *exchange) match(v *fleet.View) (*catalog.Route, catalog.ClientAccount, error) {
	route, account, err := ex.relay.match(v, ex.req)
	switch {
	case !ex.keepsRoute():
		return route, account, err
	case err != nil:
		return ex.route, ex.account, nil
	case ex.headerSent && slices.ContainsFunc(v.Pool(ex.pool.Name), func(e fleet.Entry) bool { return v.InService(&e) }):
		return ex.route, account, nil
	}
	return route, account, nil
}

// acquireRetry takes the planned attempt from the retry budget if the request has
// reached a server before. The error states that the budget is exhausted, or that the route
// that applies now allows no further attempt. running is the server that the request still
// runs on; nil if there is none.
func (ex *exchange) acquireRetry(p *plannedAttempt, running *fleet.Entry, now clock.Millis) *result.Error {
	used := ex.usedServers(running)
	if used > 0 && (p.route.RetryPolicy == catalog.AtMostOnce || used >= max(p.route.MaxAttempts, 1)) {
		return result.New(result.BackendFailed, "route %s allows no further attempt; %s", p.route.Name, ex.lastError)
	}
	if running != nil && ex.executions >= max(ex.route.MaxAttempts, 1) {
		// See recordFailedExecution, which would end the request once the server is given up.
		return result.New(result.BackendFailed, "the request has run %d times; %s", ex.executions, ex.lastError)
	}
	if ex.reachedServer && !ex.relay.RetryBudget.TryAcquire(p.pool.Name, now) {
		return result.New(result.BackendRefused, "the retry budget is exhausted; %s", ex.lastError)
	}
	return nil
}
