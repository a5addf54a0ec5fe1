package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/platform/rating"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// maxAttempts is the limit of attempts per request, over all tiers of a cascade.
const maxAttempts = 4

// chatExchange is a chat completion of a caller, over all its cascade tiers and attempts.
type chatExchange struct {
	server  *Server
	httpReq *http.Request
	info    *requestInfo
	request *engine.Request
	route   tables.Route
	tiers   []quality.Tier
	holding *admission.Holding // of the answers of all attempts

	attempts   int
	mayHaveRun bool // an attempt of any tier may have run
	steps      int  // tiers that answered
	tokens     int64
	cost       int64 // in millionths of the billing unit
}

// requestContext returns a context that ends when the caller disconnects or at the
// request's deadline.
func (ex *chatExchange) requestContext() (context.Context, context.CancelFunc) {
	remaining := ex.info.deadline - ex.server.Common.Clock.Now()
	return context.WithTimeout(ex.httpReq.Context(), remaining.Duration())
}

func (ex *chatExchange) dispatchRequest(tier quality.Tier, tried map[placement.ServerKey]bool) dispatch.Request {
	return dispatch.Request{
		Account:     ex.info.account,
		Weight:      ex.info.clientAccount.Weight,
		Priority:    ex.route.Priority,
		Pool:        ex.route.Pool,
		Model:       tier.Model,
		Version:     tier.Version,
		AffinityKey: ex.request.Prefix(),
		Deadline:    ex.info.deadline,
		Tried:       tried,
	}
}

// runTier calls send for a server of the tier, and again after failures while
// shouldRetry allows it. Each attempt chooses its server by the current snapshot.
func (ex *chatExchange) runTier(ctx context.Context, tier quality.Tier, send func(call engine.Call) error) error {
	tried := make(map[placement.ServerKey]bool)
	for {
		grant, err := ex.server.Dispatcher.Acquire(ctx, ex.dispatchRequest(tier, tried))
		if err != nil {
			return withEarlierAttempts(ex.mayHaveRun, err)
		}
		ex.attempts++
		version := tables.JoinVersion(tier.Model, tier.Version)
		ex.info.server, ex.info.version = grant.Key.Server, version
		err = send(engine.Call{Address: grant.Address, Version: version, RequestID: fmt.Sprintf("%s.%d", ex.info.id, ex.attempts), Holding: ex.holding})
		grant.Release()
		if errors.Is(err, errCallerDisconnected) {
			return result.Wrap(err, result.StreamCut) // does not count as a failure of the server
		}
		if err == nil {
			ex.server.reportServed(grant.Key)
			return nil
		}
		failure := backend.AsFailure(err)
		ex.handleFailure(ctx, grant.Key, version, failure)
		if !ex.shouldRetry(ctx, failure) {
			return withEarlierAttempts(ex.mayHaveRun, resultError(failure))
		}
		tried[grant.Key] = true
		ex.info.retries++
	}
}

func (ex *chatExchange) handleFailure(ctx context.Context, key placement.ServerKey, version string, f *backend.Failure) {
	ex.mayHaveRun = ex.mayHaveRun || !f.NotRun()
	if f.Kind == backend.Mismatched {
		ex.server.Metrics.recordDroppedAnswer(result.AnswerMismatch)
	}
	if f.Kind == backend.ServerError {
		ex.server.Quality.RecordServerError(version)
	}
	// The server is not at fault if the caller disconnected or the deadline passed.
	if ctx.Err() == nil {
		ex.server.reportFailure(key, f)
	}
}

// shouldRetry reports whether to make another attempt. Chat completions are safe to run
// again, so the retry budget, the attempts and the caller's deadline are the only limits.
func (ex *chatExchange) shouldRetry(ctx context.Context, f *backend.Failure) bool {
	return ctx.Err() == nil && f.Kind != backend.TooLarge && ex.attempts < maxAttempts && ex.server.retryBudget.TryAcquire()
}

// resultError converts a failed attempt to the error that is returned to the caller.
func resultError(f *backend.Failure) *result.Error {
	switch f.Kind {
	case backend.NotSent, backend.Refused, backend.Leaving:
		return result.New(result.BackendRefused, "%s", f.Detail)
	case backend.TimedOut:
		return result.New(result.BackendTimeout, "%s", f.Detail)
	case backend.Mismatched:
		return result.New(result.AnswerMismatch, "%s", f.Detail)
	case backend.Truncated:
		return result.New(result.StreamCut, "%s", f.Detail)
	default:
		return result.New(result.BackendFailed, "%s", f.Detail)
	}
}

// recordBill records the bill. It is called before the last byte of the answer is sent, so
// that the bill survives a crash of this daemon.
func (ex *chatExchange) recordBill() {
	billID := ex.info.id
	if key := ex.httpReq.Header.Get(HeaderIdempotencyKey); key != "" {
		// Another prompt with the same idempotency key is another request.
		billID = billIDForKey(ex.info.account, key) + "/" + ex.request.Digest()
	}
	ex.server.recordBill(ex.httpReq.Context(), billing.Record{
		ID:         billID,
		Account:    ex.info.account,
		Route:      ex.info.route,
		Version:    ex.info.version,
		Tokens:     ex.tokens,
		CostMicros: ex.cost,
		Steps:      ex.steps,
	})
}

func (ex *chatExchange) submitForRating(tier quality.Tier, text string, confidence float64) {
	ex.server.Quality.RecordAnswer(rating.Answer{
		RequestID: fmt.Sprintf("%s.%d", ex.info.id, ex.attempts),
		Route:     ex.info.route,
		Class:     ex.info.class,
		Version:   tables.JoinVersion(tier.Model, tier.Version),
		Prompt:    ex.request.Prompt(),
		Text:      text,
	}, tier.Model, confidence)
}

func (ex *chatExchange) addCost(tier quality.Tier, tokens int64) {
	ex.steps++
	ex.tokens += tokens
	ex.cost += tokens * tier.CostMicrosPerToken
}

func billIDForKey(account, key string) string { return "key/" + account + "/" + key }

const billTimeout = 3 * time.Second

func (s *Server) recordBill(ctx context.Context, r billing.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billTimeout)
	defer cancel()
	if err := s.Bills.Record(ctx, r); err != nil {
		s.Common.Log.Warn("bill not written to the table service yet; only this daemon holds it", "request_id", r.ID, "error", err)
	}
}

// reportServed notifies the control loop that the server has served a call. The event is
// omitted if the server has no failures to clear.
func (s *Server) reportServed(key placement.ServerKey) {
	if s.Snapshot().Servers[key].ConsecutiveFailures > 0 {
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.Served})
	}
}

func (s *Server) reportFailure(key placement.ServerKey, f *backend.Failure) {
	switch {
	case f.Kind == backend.Leaving:
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.ReportedLeaving})
	case f.Cold:
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.ReportedCold})
	case f.Kind == backend.NotSent, f.Kind == backend.MayHaveRun, f.Kind == backend.Truncated:
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.Failed})
	}
}

func (ex *chatExchange) now() clock.Millis { return ex.server.Common.Clock.Now() }
