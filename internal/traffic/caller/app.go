package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/app"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
)

var (
	safeMethods       = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}
)

// appRun is one plain app call.
type appRun struct {
	server *Server
	http   *http.Request
	info   *info
	route  tables.Route
	body   []byte

	attempt    int
	mayHaveRun bool
}

// serveApp passes a plain call to an app server.
func (s *Server) serveApp(w http.ResponseWriter, r *http.Request) {
	run, err := s.prepareApp(w, r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.budget.RecordFirstAttempt()
	if run.route.AtMostOnce && !slices.Contains(safeMethods, r.Method) {
		run.serveOnce(w)
		return
	}
	run.servePlain(w)
}

func (s *Server) prepareApp(w http.ResponseWriter, r *http.Request) (*appRun, error) {
	i := infoOf(r)
	name, route, ok := s.Snapshots().Document.RouteForPath(r.URL.Path)
	if !ok {
		return nil, result.New(result.NoRoute, "path: no route matches %q", r.URL.Path)
	}
	if !i.row.AllowsRoute(name) {
		return nil, result.New(result.NotAllowed, "account %s may not use route %s", i.account, name)
	}
	i.route, i.class = name, route.Class
	if err := s.setDeadline(w, r, route.RequestLimitMs); err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	return &appRun{server: s, http: r, info: i, route: route, body: body}, nil
}

// servePlain makes attempts. A call whose method isn't idempotent is sent
// again only where it certainly wasn't run.
func (a *appRun) servePlain(w http.ResponseWriter) {
	ctx, cancel := context.WithTimeout(a.http.Context(), (a.info.deadline - a.server.Common.Clock.Now()).Duration())
	defer cancel()
	repeatable := slices.Contains(idempotentMethods, a.http.Method)
	tried := make(map[placement.ServerKey]bool)
	for {
		answer, key, err := a.send(ctx, tried, !repeatable)
		if err == nil {
			a.keepBill(a.info.id)
			a.write(w, answer)
			return
		}
		failure, isFailure := err.(*backend.Failure) //nolint:errorlint // send returns it unwrapped.
		if !isFailure {
			a.server.refuse(w, a.http, correctRun(a.mayHaveRun, err))
			return
		}
		again := failure.NotRun() || (repeatable && failure.Kind != backend.TooLarge)
		if !again || ctx.Err() != nil || a.attempt >= maxAttempts || !a.server.budget.TryAcquire() {
			a.server.refuse(w, a.http, correctRun(a.mayHaveRun, resultOf(failure)))
			return
		}
		tried[key] = true
		a.info.retries++
	}
}

// send makes one attempt. The error is a *backend.Failure where a server was
// tried, else a *result.Error.
func (a *appRun) send(ctx context.Context, tried map[placement.ServerKey]bool, once bool) (*app.Response, placement.ServerKey, error) {
	grant, err := a.server.Dispatcher.Acquire(ctx, dispatch.Request{
		Account:  a.info.account,
		Weight:   a.info.row.Weight,
		Priority: a.route.Priority,
		Pool:     a.route.Pool,
		Deadline: a.info.deadline,
		Tried:    tried,
	})
	if err != nil {
		return nil, placement.ServerKey{}, err
	}
	defer grant.Release()
	a.attempt++
	a.info.server = grant.Key.Server
	header := a.http.Header.Clone()
	header.Del("Authorization") // the caller's key is for the daemon alone
	answer, err := a.server.Apps.Send(ctx, app.Call{
		Address:    grant.Address,
		RequestID:  fmt.Sprintf("%s.%d", a.info.id, a.attempt),
		Method:     a.http.Method,
		URL:        a.http.URL,
		Header:     header,
		Body:       a.body,
		AtMostOnce: once,
	})
	if err == nil {
		a.server.noteServed(grant.Key)
		return answer, grant.Key, nil
	}
	failure := backend.AsFailure(err)
	a.mayHaveRun = a.mayHaveRun || !failure.NotRun()
	if failure.Kind == backend.Mismatched {
		a.server.Metrics.dropped(result.AnswerMismatch)
	}
	if ctx.Err() == nil {
		a.server.noteFailure(grant.Key, failure)
	}
	return nil, grant.Key, failure
}

func (a *appRun) keepBill(id string) {
	a.server.keepBill(a.http.Context(), billing.Record{ID: id, Account: a.info.account, Route: a.info.route, Steps: 1})
}

func (a *appRun) write(w http.ResponseWriter, answer *app.Response) {
	h := w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	h.Set(result.HeaderCode, "0")
	h.Set(result.HeaderRun, string(result.RunYes))
	a.info.firstAt = a.server.Common.Clock.Now()
	w.WriteHeader(answer.Status)
	// The caller may be gone; there is nobody left to tell.
	_, _ = w.Write(answer.Body)
}

// fingerprint tells whether two calls with one key are the same call.
func (a *appRun) fingerprint() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s\n", a.http.Method, a.http.URL.RequestURI())
	_, _ = h.Write(a.body)
	return hex.EncodeToString(h.Sum(nil))
}
