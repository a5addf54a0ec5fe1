package caller

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// observe assigns the request its ID, and logs it and updates the metrics when it ends.
func (s *Server) observe(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	setWriteTimeout(w, clock.Millis(s.Common.Settings.Limits.BodyReadMs)+slowCallerGrace)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	i := &requestInfo{id: s.newRequestID(), startedAt: s.Common.Clock.Now(), code: result.OK}
	w.Header().Set(HeaderRequestID, i.id)
	if s.stopping.Load() {
		// Makes the caller reconnect, and so reach another daemon.
		w.Header().Set("Connection", "close")
	}
	next(w, withRequestInfo(r, i))
	now := s.Common.Clock.Now()
	s.Metrics.recordRequest(i, now)
	s.Common.Log.Debug("request",
		"request_id", i.id, "account", i.account, "route", i.route, "class", i.class, "version", i.version,
		"server", i.server, "code", i.code.Number, "retries", i.retries, "ms", int64(now-i.startedAt))
}

// recoverPanic responds to a panic with an internal error. http.ErrAbortHandler is passed
// on, since it aborts a stream that can't be completed.
func (s *Server) recoverPanic(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		panicValue := recover()
		if panicValue == nil {
			return
		}
		if panicValue == http.ErrAbortHandler { //nolint:errorlint,err113 // The panic value is not wrapped.
			panic(panicValue)
		}
		s.Common.Log.Error("panic", "request_id", requestInfoOf(r).id, "problem", panicValue, "stack", string(debug.Stack()))
		s.reject(w, r, result.New(result.Internal, "internal error"))
	}()
	next(w, r)
}

// reject responds with the error's result code.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, err error) {
	e := result.From(err)
	i := requestInfoOf(r)
	i.code = e.Code
	if e.Code == result.Internal {
		s.Common.Log.Error("internal error", "request_id", i.id, "error", err)
	}
	result.Write(w, e, i.id)
}

func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		s.reject(w, r, result.New(result.UpgradeRefused, "method %s with Upgrade %q", r.Method, r.Header.Get("Upgrade")))
		return
	}
	snapshot := s.Snapshot()
	if !snapshot.Confirmed(s.Common.Clock.Now()) {
		s.reject(w, r, result.New(result.NotConfirmed, "this daemon cannot confirm that its configuration is current"))
		return
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, account, ok := snapshot.Document.AccountByKey(key)
	if key == "" || !ok {
		s.reject(w, r, result.New(result.UnknownCredential, "send the account's key as Authorization: Bearer KEY"))
		return
	}
	i := requestInfoOf(r)
	i.account, i.clientAccount = name, account
	next(w, r)
}

// checkAcceptsWork rejects requests while this host or its data centre is out of service,
// or while the limit of unwritten bills is reached. For stop.balancer_wait_ms after going
// out of service requests are still accepted, since the load balancer has yet to notice
// that the health check fails; they go to backend servers that are in service.
func (s *Server) checkAcceptsWork(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	snapshot := s.Snapshot()
	grace := clock.Millis(s.Common.Settings.Stop.BalancerWaitMs)
	if snapshot.OutOfServiceSince > 0 && s.Common.Clock.Now()-snapshot.OutOfServiceSince > grace {
		s.reject(w, r, result.New(result.OutOfService, "host %s is out of service", snapshot.Self))
		return
	}
	if s.Bills.Full() {
		s.reject(w, r, result.New(result.BillsFull, "the limit of unwritten bill records is reached"))
		return
	}
	next(w, r)
}

// limitInFlight rejects requests over the limit of in-flight requests, or over the client
// account's fair share of it.
func (s *Server) limitInFlight(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	i := requestInfoOf(r)
	switch s.limiter.Acquire(i.account, i.clientAccount.Weight, s.Common.Clock.Now()) {
	case admission.Admitted:
		defer s.limiter.Release(i.account)
		next(w, r)
	case admission.OverShare:
		s.reject(w, r, result.New(result.AccountOverShare, "client account %s is over its share", i.account))
	case admission.LimitReached:
		s.reject(w, r, result.New(result.Overloaded, "this daemon has limits.max_in_flight requests in flight"))
	}
}

// setDeadline sets the deadline by the route's limit or the caller's own, whichever is
// shorter.
func (s *Server) setDeadline(w http.ResponseWriter, r *http.Request, limitMs int64) error {
	limit := limitMs
	if text := r.Header.Get(HeaderRequestTimeout); text != "" {
		requested, err := strconv.ParseInt(text, 10, 64)
		if err != nil || requested < 1 {
			return result.New(result.MalformedRequest, "header %s: %q is not a positive number of milliseconds", HeaderRequestTimeout, text)
		}
		limit = min(limit, requested)
	}
	i := requestInfoOf(r)
	i.deadline = i.startedAt + clock.Millis(limit)
	setWriteTimeout(w, clock.Millis(limit)+slowCallerGrace)
	return nil
}

// slowCallerGrace is how long a caller may read its answer after the deadline.
const slowCallerGrace = 5_000 * clock.Millis(1)

// setWriteTimeout limits the writes of the current request, so that a caller which does
// not read its answer can't keep the request open. Each request on a connection sets its
// own timeout.
func setWriteTimeout(w http.ResponseWriter, limit clock.Millis) {
	// Fails only with test recorders, which have no deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit.Duration()))
}
