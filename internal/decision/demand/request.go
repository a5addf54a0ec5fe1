package demand

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Request is a request in the ledger. Its methods may be called on nil.
type Request struct {
	ledger    *Ledger
	account   *account
	urgency   int
	work      clock.Millis
	startedAt clock.Millis
	state     requestState
}

type requestState int

const (
	waiting requestState = iota
	running
	ended
)

// Arrive records a waiting request; work is its expected server time. It may be called on
// nil and returns nil then.
func (l *Ledger) Arrive(c Class, work, now clock.Millis) *Request {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Request{ledger: l, account: l.account(c), urgency: c.Urgency, work: max(work, 1)}
	r.account.lastWork = r.work
	class := r.account.class(c.Urgency)
	class.Waiting++
	class.WaitingWork += int(r.work)
	r.account.arrived.add(float64(r.work), now)
	r.account.recent.add(float64(r.work), now)
	return r
}

// isLong reports whether the request's use is judged by being in flight, and not by the rate.
func (r *Request) isLong() bool { return r.work >= window }

// Start records that the request runs. It may be called again after a retry, which isn't
// counted: the account didn't cause it.
func (r *Request) Start(now clock.Millis) {
	if r == nil {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if r.state != waiting {
		return
	}
	r.removeWaiting()
	r.state, r.startedAt = running, now
	a := r.account
	class := a.class(r.urgency)
	class.Running++
	class.RunningWork += int(r.work)
	if r.isLong() {
		a.longRunning++
	} else {
		a.started.add(float64(r.work), now)
	}
	a.pace.spend(float64(r.work), now)
}

// removeWaiting removes the request from those that wait. The ledger's mu must be held.
func (r *Request) removeWaiting() {
	class := r.account.class(r.urgency)
	class.Waiting--
	class.WaitingWork -= int(r.work)
}

// End removes the request. Further calls have no effect. Work that a request which ended
// early didn't need is given back.
func (r *Request) End(now clock.Millis) {
	if r == nil {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	switch r.state {
	case waiting:
		r.removeWaiting()
	case running:
		a := r.account
		class := a.class(r.urgency)
		class.Running--
		class.RunningWork -= int(r.work)
		unused := float64(max(r.work-(now-r.startedAt), 0))
		if r.isLong() {
			a.longRunning--
		} else {
			a.started.subtract(unused, r.startedAt, now)
		}
		a.pace.spend(-unused, now)
	case ended:
	}
	r.state = ended
}
