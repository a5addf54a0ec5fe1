package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// succession is how a request moves from the server that it runs on to another one.
type succession struct {
	successor  *plannedAttempt // the next attempt, if it was planned while the last one still ran
	keptOn     string          // the silent server that the request was last kept on
	placedAnew bool            // another server was expected to be sooner; happens once

	called         *plannedAttempt // see successorCall; nil if there is none
	refused        bool            // a called successor didn't accept the request
	successorPause clock.Millis    // the last pause after that
	callAgainAt    clock.Millis    // its end
}

// successorPeriod is how often a silent attempt is checked for a server that can take
// over.
const successorPeriod = 250 * clock.Millis(1)

// planSuccessor plans the attempt that takes over from one that the server is silent
// about. It reports false if there is none that is likelier to succeed: the request then
// stays where it is, since the server may only be slow. Going on there is no new work,
// so a configuration that no longer allows the request doesn't end it. For a response that has
// begun, see callSuccessor.
func (ex *exchange) planSuccessor(server *fleet.Entry) bool {
	now := ex.relay.Clock.Now()
	ex.reachedServer = true
	if ex.headerSent {
		ex.callSuccessor(server)
		return false
	}
	next, rejection := ex.planReplacement(server, now)
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
	if _, _, err := ex.relay.match(ex.relay.View(), ex.req); err != nil && !ex.refused {
		return nil, result.From(err)
	}
	return ex.plan(planRequest{now: now, running: server, excluded: []string{server.ID}, failed: true, check: func(next *plannedAttempt) *result.Error {
		switch {
		case next.pool.Name != ex.pool.Name:
			// The configuration has moved the route, which says nothing about the server.
			return result.New(result.NoServer, "the route now leads to pool %s", next.pool.Name)
		case next.choice.LastResort || now+next.choice.ExpectedFirstByte >= ex.deadline:
			return result.New(result.NoServer, "no server is likelier to respond in time")
		}
		return ex.checkSecondAttempt(server, next, now)
	}})
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
	ex.release(p)
	return nil
}

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
		ex.release(ex.successor)
		ex.successor = nil
	}
}
