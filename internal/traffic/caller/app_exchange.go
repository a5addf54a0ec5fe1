package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
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

// appExchange is a call of a caller to an app server, over all its attempts.
type appExchange struct {
	server  *Server
	httpReq *http.Request
	info    *requestInfo
	route   tables.Route
	body    []byte

	holding    *admission.Holding // of the last response
	attempts   int
	mayHaveRun bool // an attempt may have run
}

// serveApp forwards the request to an app server.
func (s *Server) serveApp(w http.ResponseWriter, r *http.Request) {
	ex, err := s.prepareApp(w, r)
	if err != nil {
		s.reject(w, r, err)
		return
	}
	s.retryBudget.RecordFirstAttempt()
	defer ex.holding.Release()
	if ex.route.AtMostOnce && !slices.Contains(safeMethods, r.Method) {
		ex.serveAtMostOnce(w)
		return
	}
	ex.serveWithRetries(w)
}

func (s *Server) prepareApp(w http.ResponseWriter, r *http.Request) (*appExchange, error) {
	i := requestInfoOf(r)
	name, route, ok := s.Snapshot().Document.RouteForPath(r.URL.Path)
	if !ok {
		return nil, result.New(result.NoRoute, "no route matches path %q", r.URL.Path)
	}
	if !i.clientAccount.AllowsRoute(name) {
		return nil, result.New(result.NotAllowed, "client account %s may not use route %s", i.account, name)
	}
	i.route, i.class = name, route.Class
	if err := s.setDeadline(w, r, route.RequestLimitMs); err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	return &appExchange{server: s, httpReq: r, info: i, route: route, body: body, holding: admission.NewHolding(s.AnswerMemory)}, nil
}

// serveWithRetries forwards the call and retries failed attempts. A call whose method is
// not idempotent is retried only if it certainly did not run.
func (ex *appExchange) serveWithRetries(w http.ResponseWriter) {
	ctx, cancel := context.WithTimeout(ex.httpReq.Context(), (ex.info.deadline - ex.server.Common.Clock.Now()).Duration())
	defer cancel()
	idempotent := slices.Contains(idempotentMethods, ex.httpReq.Method)
	tried := make(map[placement.ServerKey]bool)
	for {
		response, key, err := ex.send(ctx, tried, !idempotent)
		if err == nil {
			ex.recordBill(ex.info.id)
			ex.writeResponse(w, response)
			return
		}
		failure, isFailure := err.(*backend.Failure) //nolint:errorlint // send returns it unwrapped.
		if !isFailure {
			ex.server.reject(w, ex.httpReq, withEarlierAttempts(ex.mayHaveRun, err))
			return
		}
		retry := failure.NotRun() || (idempotent && failure.Kind != backend.TooLarge)
		if !retry || ctx.Err() != nil || ex.attempts >= maxAttempts || !ex.server.retryBudget.TryAcquire() {
			ex.server.reject(w, ex.httpReq, withEarlierAttempts(ex.mayHaveRun, resultError(failure)))
			return
		}
		tried[key] = true
		ex.info.retries++
	}
}

// send makes one attempt. The error is a *backend.Failure if a server was tried, else a
// *result.Error.
func (ex *appExchange) send(ctx context.Context, tried map[placement.ServerKey]bool, atMostOnce bool) (*app.Response, placement.ServerKey, error) {
	grant, err := ex.server.Dispatcher.Acquire(ctx, dispatch.Request{
		Account:  ex.info.account,
		Weight:   ex.info.clientAccount.Weight,
		Priority: ex.route.Priority,
		Pool:     ex.route.Pool,
		Deadline: ex.info.deadline,
		Tried:    tried,
	})
	if err != nil {
		return nil, placement.ServerKey{}, err
	}
	defer grant.Release()
	ex.attempts++
	ex.holding.Release()
	ex.info.server = grant.Key.Server
	header := ex.httpReq.Header.Clone()
	header.Del("Authorization") // app servers must not see the caller's key
	response, err := ex.server.Apps.Send(ctx, app.Call{
		Address:    grant.Address,
		RequestID:  fmt.Sprintf("%s.%d", ex.info.id, ex.attempts),
		Method:     ex.httpReq.Method,
		URL:        ex.httpReq.URL,
		Header:     header,
		Body:       ex.body,
		AtMostOnce: atMostOnce,
		Holding:    ex.holding,
	})
	if err == nil {
		ex.server.reportServed(grant.Key)
		return response, grant.Key, nil
	}
	failure := backend.AsFailure(err)
	ex.mayHaveRun = ex.mayHaveRun || !failure.NotRun()
	if failure.Kind == backend.Mismatched {
		ex.server.Metrics.recordDroppedAnswer(result.AnswerMismatch)
	}
	if ctx.Err() == nil {
		ex.server.reportFailure(grant.Key, failure)
	}
	return nil, grant.Key, failure
}

func (ex *appExchange) recordBill(billID string) {
	ex.server.recordBill(ex.httpReq.Context(), billing.Record{ID: billID, Account: ex.info.account, Route: ex.info.route, Steps: 1})
}

func (ex *appExchange) writeResponse(w http.ResponseWriter, response *app.Response) {
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(result.HeaderCode, "0")
	h.Set(result.HeaderRun, string(result.RunYes))
	ex.info.firstByteAt = ex.server.Common.Clock.Now()
	w.WriteHeader(response.Status)
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(response.Body)
}

// fingerprint identifies the call's method, URL and body, to detect that an idempotency
// key is reused for another call.
func (ex *appExchange) fingerprint() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s\n", ex.httpReq.Method, ex.httpReq.URL.RequestURI())
	_, _ = h.Write(ex.body)
	return hex.EncodeToString(h.Sum(nil))
}
