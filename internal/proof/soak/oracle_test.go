package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	drainTimeout = 2 * time.Second // after which a draining engine must receive no new requests
	settlingTime = 3 * time.Second // after a disruption, until the guarantees apply again
)

// execution is one run of a request on an engine.
type execution struct {
	engine    *engine
	account   string // client account that the engine was told
	startedAt time.Time
	endedAt   time.Time // zero while it runs
}

// request is what its caller knows of a request.
type request struct {
	id          string
	key         string // API key
	kind        requestKind
	daemon      *daemon
	startedAt   time.Time
	endedAt     time.Time
	status      int // 0 without a response
	interrupted bool
}

// disruption is a period in which one daemon, or every daemon if none is given, may miss
// its guarantees.
type disruption struct {
	daemon    *daemon
	cause     string
	startedAt time.Time
	endedAt   time.Time // zero while it lasts
}

// oracle checks the guarantees by what callers and engines observe. Safe for concurrent
// use.
type oracle struct {
	mu          sync.Mutex
	executions  map[string][]*execution // by request ID
	arrivals    []arrival
	exits       map[exitKey]time.Time // when the first caller heard of it
	requests    map[string]*request
	disruptions []*disruption
	limits      []limitPeriod
	revokedAt   map[string]time.Time // by API key
	violations  []string
	served      int
}

func newOracle() *oracle {
	return &oracle{
		executions: make(map[string][]*execution), requests: make(map[string]*request),
		exits: make(map[exitKey]time.Time), revokedAt: make(map[string]time.Time),
	}
}

// reportf adds a violation.
func (o *oracle) reportf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// beginDisruption records that a disruption starts. The function that it returns records
// the end.
func (o *oracle) beginDisruption(d *daemon, cause string) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := &disruption{daemon: d, cause: cause, startedAt: time.Now()}
	o.disruptions = append(o.disruptions, current)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		current.endedAt = time.Now()
	}
}

// undisturbed reports whether no disruption affected the daemon between from and to, or
// in the settlingTime before from. Disruptions with one of the causes do not count.
// o.mu must be held.
func (o *oracle) undisturbed(d *daemon, from, to time.Time, exceptCauses ...string) bool {
	for _, period := range o.disruptions {
		if (period.daemon == nil || period.daemon == d) && !slices.Contains(exceptCauses, period.cause) && period.startedAt.Before(to) && (period.endedAt.IsZero() || period.endedAt.After(from.Add(-settlingTime))) {
			return false
		}
	}
	return true
}

// recordExecution records that a request starts to run on the engine. The function that it
// returns records the end.
func (o *oracle) recordExecution(e *engine, r *http.Request) (end func()) {
	id := r.Header.Get("Request-Id")
	current := &execution{engine: e, account: r.Header.Get("Tenant"), startedAt: time.Now()}
	o.mu.Lock()
	o.executions[id] = append(o.executions[id], current)
	o.mu.Unlock()
	if !strings.HasSuffix(r.URL.Path, id) {
		o.reportf("%s ran with the path %s", id, r.URL.Path)
	}
	if r.Header.Get("Authorization") != "" {
		o.reportf("%s ran with Authorization %q", id, r.Header.Get("Authorization"))
	}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		current.endedAt = time.Now()
	}
}

// recordRevocation records that the next configuration revokes the key.
func (o *oracle) recordRevocation(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revokedAt[key] = time.Now()
}

// mayLackKey reports whether the request may be rejected because its key was revoked: one
// that has been accepted may not. o.mu must be held.
func (o *oracle) mayLackKey(r *request) bool {
	if len(o.executions[r.id]) > 0 {
		return false
	}
	revokedAt, revoked := o.revokedAt[r.key]
	return r.status == http.StatusUnauthorized && revoked && revokedAt.Before(r.endedAt)
}

// recordRequest records that a caller sends a request.
func (o *oracle) recordRequest(id, key string, k requestKind, d *daemon) *request {
	r := &request{id: id, key: key, kind: k, daemon: d, startedAt: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id] = r
	return r
}

// checkResponse checks the body of a successful response, and that its Engine-Stamp is of
// an engine that ran the request. A stream must contain each event exactly once.
func (o *oracle) checkResponse(r *request, h http.Header, body string) {
	o.mu.Lock()
	o.served++
	executions := o.executions[r.id]
	o.mu.Unlock()
	want := responseBody(r.id)
	if r.kind.streaming() {
		var b strings.Builder
		for i := 1; i <= streamEventCount; i++ {
			b.WriteString(streamEvent(r.id, i))
		}
		want = b.String()
	}
	if body != want {
		o.reportf("%s got a wrong body of %d bytes: %.600q", r.id, len(body), body)
	}
	for _, e := range executions {
		if h.Get("Engine-Stamp") == engineStamp(r.id, e.engine.id) {
			return
		}
	}
	o.reportf("%s got the stamp %q, which none of its executions gave", r.id, h.Get("Engine-Stamp"))
}

// check returns the violations reported during the run, and those found in the records of
// all requests and executions after it.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	violations := o.violations
	for id, r := range o.requests {
		violations = append(violations, o.checkRequest(r, o.executions[id])...)
	}
	violations = append(violations, o.checkArrivals()...)
	violations = append(violations, o.checkLimits()...)
	violations = append(violations, o.checkStarvation()...)
	for id := range o.executions {
		if o.requests[id] == nil {
			violations = append(violations, id+" ran but no caller sent it")
		}
	}
	return violations
}

// checkAccount returns the runs for another client account than the caller's.
func checkAccount(r *request, executions []*execution) (violations []string) {
	for _, e := range executions {
		if e.account != accountOf(r.key) {
			violations = append(violations, fmt.Sprintf("%s ran for client account %q", r.id, e.account))
		}
	}
	return violations
}

// checkRequest returns the violations of one request. o.mu must be held.
func (o *oracle) checkRequest(r *request, executions []*execution) (violations []string) {
	violations = checkAccount(r, executions)
	if r.kind.atMostOnce() {
		if len(executions) > 1 {
			violations = append(violations, fmt.Sprintf("%s, a %s, ran %d times", r.id, r.kind, len(executions)))
		}
		if (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && len(executions) > 0 {
			violations = append(violations, fmt.Sprintf("%s, a %s, was rejected as not run by %s but ran on %s", r.id, r.kind, r.daemon.name, executions[0].engine.id))
		}
	}
	if r.status >= 400 && r.status < 500 && r.status != http.StatusTooManyRequests && !o.mayLackKey(r) {
		violations = append(violations, fmt.Sprintf("%s was rejected by %s with status %d", r.id, r.daemon.name, r.status))
	}
	if r.interrupted && o.undisturbed(r.daemon, r.startedAt, r.endedAt, "stop", "return") && !crossedClose(r, executions) && !o.outlastedStop(r, executions) {
		violations = append(violations, fmt.Sprintf("%s, a %s, was interrupted by %s after %v with no disruption but a planned stop; it ran %d times", r.id, r.kind, r.daemon.name, r.endedAt.Sub(r.startedAt), len(executions)))
	}
	return append(violations, o.checkDraining(r, executions)...)
}

// maxUnread is how long a daemon may hold an unread request before it closes the connection.
const maxUnread = 200 * time.Millisecond

// crossedClose reports whether the connection was closed before the daemon had read the
// request, which its caller may repeat then.
func crossedClose(r *request, executions []*execution) bool {
	return len(executions) == 0 && r.endedAt.Sub(r.startedAt) < maxUnread
}

// outlastedStop reports whether an engine still ran the request in the last sixth of the
// daemon's time to stop. o.mu must be held.
func (o *oracle) outlastedStop(r *request, executions []*execution) bool {
	for _, period := range o.disruptions {
		lastSixth := period.startedAt.Add(stopTimeoutSeconds * time.Second * 5 / 6)
		if period.daemon != r.daemon || period.cause != "stop" || !r.startedAt.Before(lastSixth) {
			continue
		}
		for _, e := range executions {
			if !r.endedAt.Before(lastSixth) && (e.endedAt.IsZero() || e.endedAt.After(lastSixth)) {
				return true
			}
		}
	}
	return false
}

// knowsDrain reports whether the daemon must know at the given time that an engine drains.
// A return of the store to an older copy excuses a daemon only if it comes before the
// daemon must know, and a fault of an engine does not. o.mu must be held.
func (o *oracle) knowsDrain(d *daemon, drainingSince, at time.Time) bool {
	known := drainingSince.Add(drainTimeout)
	return o.undisturbed(d, drainingSince, at, "engine") ||
		(at.After(known) && o.undisturbed(d, drainingSince, known, "engine") && o.undisturbed(d, drainingSince, at, "engine", "return"))
}

// checkDraining returns the executions on engines that had been draining for drainTimeout
// when the request was sent. o.mu must be held.
func (o *oracle) checkDraining(r *request, executions []*execution) (violations []string) {
	for _, e := range executions {
		e.engine.mu.Lock()
		drainingSince := e.engine.drainingSince
		e.engine.mu.Unlock()
		if drainingSince.IsZero() || r.startedAt.Sub(drainingSince) < drainTimeout || !o.knowsDrain(r.daemon, drainingSince, e.startedAt) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s, sent by %s, ran on %s %v after it began to drain", r.id, r.daemon.name, e.engine.id, e.startedAt.Sub(drainingSince)))
	}
	return violations
}
