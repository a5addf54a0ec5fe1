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

// observe gives the request its id, and logs and counts how it went.
func (s *Server) observe(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	boundWrites(w, clock.Millis(s.Common.Settings.Limits.BodyReadMs)+slowCallerGrace)
	s.open.Add(1)
	defer s.open.Add(-1)
	i := &info{id: s.newID(), began: s.Common.Clock.Now(), code: result.OK}
	w.Header().Set(HeaderRequestID, i.id)
	if s.stopping.Load() {
		// The caller's next request then goes to another daemon.
		w.Header().Set("Connection", "close")
	}
	next(w, withInfo(r, i))
	now := s.Common.Clock.Now()
	s.Metrics.observe(i, now)
	s.Common.Log.Debug("request",
		"request_id", i.id, "account", i.account, "route", i.route, "class", i.class, "version", i.version,
		"server", i.server, "code", i.code.Number, "retries", i.retries, "ms", int64(now-i.began))
}

// recover answers a panic with a numbered code. http.ErrAbortHandler passes,
// since it is how a stream that can't be finished is cut.
func (s *Server) recover(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		problem := recover()
		if problem == nil {
			return
		}
		if problem == http.ErrAbortHandler { //nolint:errorlint,err113 // The panic value is this very error.
			panic(problem)
		}
		s.Common.Log.Error("panic", "request_id", infoOf(r).id, "problem", problem, "stack", string(debug.Stack()))
		s.refuse(w, r, result.New(result.Internal, "internal fault"))
	}()
	next(w, r)
}

// refuse answers with a numbered code.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	e := result.From(err)
	i := infoOf(r)
	i.code = e.Code
	if e.Code == result.Internal {
		s.Common.Log.Error("internal fault", "request_id", i.id, "error", err)
	}
	result.Write(w, e, i.id)
}

func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		s.refuse(w, r, result.New(result.UpgradeRefused, "method %s with Upgrade %q", r.Method, r.Header.Get("Upgrade")))
		return
	}
	snapshot := s.Snapshots()
	if !snapshot.Confirmed(s.Common.Clock.Now()) {
		s.refuse(w, r, result.New(result.NotConfirmed, "this daemon can't confirm its configuration"))
		return
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, account, ok := snapshot.Document.AccountByKey(key)
	if key == "" || !ok {
		s.refuse(w, r, result.New(result.UnknownCredential, "send the account's key as Authorization: Bearer KEY"))
		return
	}
	i := infoOf(r)
	i.account, i.row = name, account
	next(w, r)
}

// checkService lets no new work in where operators have taken this host or its
// data centre out. Until the balancer has seen that the health check fails,
// requests that still come are served by servers that are in service.
func (s *Server) checkService(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	snapshot := s.Snapshots()
	grace := clock.Millis(s.Common.Settings.Stop.BalancerWaitMs)
	if snapshot.OutOfServiceSince > 0 && s.Common.Clock.Now()-snapshot.OutOfServiceSince > grace {
		s.refuse(w, r, result.New(result.OutOfService, "host %s is out of service", snapshot.Self))
		return
	}
	if s.Bills.Full() {
		s.refuse(w, r, result.New(result.BillsFull, "unwritten bill records are at their bound"))
		return
	}
	next(w, r)
}

// admit holds the account to its fair share of this daemon.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	i := infoOf(r)
	switch s.gate.Acquire(i.account, i.row.Weight, s.Common.Clock.Now()) {
	case admission.Admitted:
		defer s.gate.Release(i.account)
		next(w, r)
	case admission.OverShare:
		s.refuse(w, r, result.New(result.AccountOverShare, "account %s is over its share", i.account))
	case admission.LimitReached:
		s.refuse(w, r, result.New(result.Overloaded, "this daemon has limits.max_in_flight requests under way"))
	}
}

// setDeadline takes the earlier of the route's limit and the caller's own.
func (s *Server) setDeadline(w http.ResponseWriter, r *http.Request, limitMs int64) error {
	limit := limitMs
	if text := r.Header.Get(HeaderRequestTimeout); text != "" {
		asked, err := strconv.ParseInt(text, 10, 64)
		if err != nil || asked < 1 {
			return result.New(result.MalformedRequest, "header %s: %q is not a number of ms above 0", HeaderRequestTimeout, text)
		}
		limit = min(limit, asked)
	}
	i := infoOf(r)
	i.deadline = i.began + clock.Millis(limit)
	boundWrites(w, clock.Millis(limit)+slowCallerGrace)
	return nil
}

// slowCallerGrace is the time that a caller has to read the end of its answer.
const slowCallerGrace = 5_000 * clock.Millis(1)

// boundWrites keeps a caller that doesn't read from holding its request for
// ever. Each request on a connection sets its own bound.
func boundWrites(w http.ResponseWriter, limit clock.Millis) {
	// Only test recorders lack deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit.Duration()))
}
