package relay

import "net/http"

// state is what an exchange does. All transitions are in this file.
//
//	arrive   -> wait, end
//	wait     -> attempt                     an attempt is planned
//	         -> wait, resume, end           no attempt can be made
//	attempt  -> respond, escalate           the server responded
//	         -> wait, resume, end           it gave no usable response
//	respond  -> end                         the caller has the complete response
//	         -> wait, resume, end           the response was interrupted
//	escalate -> wait                        for the largest model's attempt, which is planned
//	resume   -> wait
type state int

const (
	stateArrive   state = iota
	stateWait           // the next attempt is planned; the request waits while the servers are full
	stateAttempt        // a server is called
	stateRespond        // the server's response is forwarded
	stateEscalate       // a small model's answer is discarded for the largest model's
	stateResume         // a pause, until a server can go on with the request
	stateEnd
)

// serve takes the request from its arrival to its end. It returns nil if the caller has a
// complete response.
func (ex *exchange) serve() (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = ex.panicError(fault)
		}
		ex.endAttempt(false)
		ex.releaseSuccessor()
		ex.abandonCalled()
		ex.demand.End(ex.relay.Clock.Now())
	}()
	for ex.state != stateEnd {
		ex.state, err = ex.next()
	}
	return err
}

// next does what the state asks for and returns the next state. The error is that of the
// request in stateEnd, and nil in all others.
func (ex *exchange) next() (state, error) {
	switch ex.state {
	case stateArrive:
		if err := ex.arrive(); err != nil {
			return stateEnd, err
		}
		return stateWait, nil
	case stateWait:
		return ex.afterWait(ex.planNext())
	case stateAttempt:
		return ex.afterCall(ex.call())
	case stateRespond:
		return ex.afterAttempt(ex.forward())
	case stateEscalate:
		ex.escalate()
		ex.endAttempt(false)
		return stateWait, nil
	case stateResume:
		ex.sleep(ex.pause)
		ex.pause = 0
		return stateWait, nil
	case stateEnd:
	}
	return stateEnd, nil
}

// afterWait is the transition once an attempt has begun, or none can be made.
func (ex *exchange) afterWait(begun bool, err error) (state, error) {
	if begun {
		return stateAttempt, nil
	}
	return ex.afterAttempt(false, err)
}

// afterCall is the transition once the server has responded, or the call has failed.
func (ex *exchange) afterCall(responded bool, err error) (state, error) {
	if !responded {
		return ex.afterAttempt(false, err)
	}
	usable, err := ex.checkResponse()
	if !usable {
		return ex.afterAttempt(false, err)
	}
	now, a := ex.relay.Clock.Now(), ex.current
	if a.resp.Status < http.StatusInternalServerError && ex.shouldEscalate(a.info, now) && ex.planEscalation(&a.choice.Server, now) {
		return stateEscalate, nil
	}
	return stateRespond, nil
}

// afterAttempt is the transition at the end of an attempt. done reports that the caller has the
// complete response. If it has not and err is nil, the request may be retried.
func (ex *exchange) afterAttempt(done bool, err error) (state, error) {
	ex.endAttempt(done && err == nil)
	switch {
	case !done && ex.kept != nil && ex.serveKept(err):
		return stateEnd, nil
	case done || err != nil:
		return stateEnd, err
	case ex.pause > 0:
		return stateResume, nil
	}
	return stateWait, nil
}
