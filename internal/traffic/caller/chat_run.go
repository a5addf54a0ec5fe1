package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
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

const maxAttempts = 4

// chatRun is one model request on its way through cascade steps and attempts.
type chatRun struct {
	server  *Server
	http    *http.Request
	info    *info
	request *engine.Request
	route   tables.Route
	tiers   []quality.Tier

	attempt    int
	mayHaveRun bool // some attempt may have reached an engine
	steps      int
	tokens     int64
	cost       int64
}

// context ends with the caller's connection or at the request's deadline.
func (c *chatRun) context() (context.Context, context.CancelFunc) {
	left := c.info.deadline - c.server.Common.Clock.Now()
	return context.WithTimeout(c.http.Context(), left.Duration())
}

func (c *chatRun) dispatchRequest(tier quality.Tier, tried map[placement.ServerKey]bool) dispatch.Request {
	return dispatch.Request{
		Account:     c.info.account,
		Weight:      c.info.row.Weight,
		Priority:    c.route.Priority,
		Pool:        c.route.Pool,
		Model:       tier.Model,
		Version:     tier.Version,
		AffinityKey: c.request.Prefix(),
		Deadline:    c.info.deadline,
		Tried:       tried,
	}
}

// try makes attempts on one tier until one works, gives up for good, or the
// retry budget is spent. Each attempt is decided by the newest snapshot.
func (c *chatRun) try(ctx context.Context, tier quality.Tier, send func(call engine.Call) error) error {
	tried := make(map[placement.ServerKey]bool)
	for {
		grant, err := c.server.Dispatcher.Acquire(ctx, c.dispatchRequest(tier, tried))
		if err != nil {
			return correctRun(c.mayHaveRun, err)
		}
		c.attempt++
		version := tables.JoinVersion(tier.Model, tier.Version)
		c.info.server, c.info.version = grant.Key.Server, version
		err = send(engine.Call{Address: grant.Address, Version: version, RequestID: fmt.Sprintf("%s.%d", c.info.id, c.attempt)})
		grant.Release()
		if errors.Is(err, errCallerGone) {
			return result.Wrap(err, result.StreamCut) // it says nothing about the server
		}
		if err == nil {
			c.server.noteServed(grant.Key)
			return nil
		}
		failure := backend.AsFailure(err)
		c.noteFailure(ctx, grant.Key, version, failure)
		if !c.mayRetry(ctx, failure) {
			return correctRun(c.mayHaveRun, resultOf(failure))
		}
		tried[grant.Key] = true
		c.info.retries++
	}
}

func (c *chatRun) noteFailure(ctx context.Context, key placement.ServerKey, version string, f *backend.Failure) {
	c.mayHaveRun = c.mayHaveRun || !f.NotRun()
	if f.Kind == backend.Mismatched {
		c.server.Metrics.dropped(result.AnswerMismatch)
	}
	if f.Kind == backend.ServerError {
		c.server.Quality.RecordServerError(version)
	}
	// A caller that went away says nothing about the server.
	if ctx.Err() == nil {
		c.server.noteFailure(key, f)
	}
}

// mayRetry allows another attempt: model requests may run again, within the
// budget, as long as the caller waits.
func (c *chatRun) mayRetry(ctx context.Context, f *backend.Failure) bool {
	return ctx.Err() == nil && f.Kind != backend.TooLarge && c.attempt < maxAttempts && c.server.budget.TryAcquire()
}

// resultOf gives the numbered code of a failed call.
func resultOf(f *backend.Failure) *result.Error {
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

// keepBill makes sure that the bill outlasts this daemon before the last byte
// goes to the caller.
func (c *chatRun) keepBill() {
	id := c.info.id
	if key := c.http.Header.Get(HeaderIdempotencyKey); key != "" {
		// A key that is used for another prompt is another request.
		id = billIDOfKey(c.info.account, key) + "/" + c.request.Digest()
	}
	c.server.keepBill(c.http.Context(), billing.Record{
		ID:         id,
		Account:    c.info.account,
		Route:      c.info.route,
		Version:    c.info.version,
		Tokens:     c.tokens,
		CostMicros: c.cost,
		Steps:      c.steps,
	})
}

func (c *chatRun) submitRating(tier quality.Tier, text string, confidence float64) {
	c.server.Quality.RecordAnswer(rating.Answer{
		RequestID: fmt.Sprintf("%s.%d", c.info.id, c.attempt),
		Route:     c.info.route,
		Class:     c.info.class,
		Version:   tables.JoinVersion(tier.Model, tier.Version),
		Prompt:    c.request.Prompt(),
		Text:      text,
	}, tier.Model, confidence)
}

func (c *chatRun) addCost(tier quality.Tier, tokens int64) {
	c.steps++
	c.tokens += tokens
	c.cost += tokens * tier.CostMicrosPerToken
}

func billIDOfKey(account, key string) string { return "key/" + account + "/" + key }

const billLimit = 3 * time.Second

func (s *Server) keepBill(ctx context.Context, r billing.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billLimit)
	defer cancel()
	if err := s.Bills.Record(ctx, r); err != nil {
		s.Common.Log.Warn("bill is kept by this daemon alone until the table service is back", "request_id", r.ID, "error", err)
	}
}

// noteServed tells the control goroutine only where it changes anything.
func (s *Server) noteServed(key placement.ServerKey) {
	if s.Snapshots().Servers[key].ConsecutiveFailures > 0 {
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.Served})
	}
}

func (s *Server) noteFailure(key placement.ServerKey, f *backend.Failure) {
	switch {
	case f.Kind == backend.Leaving:
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.ReportedLeaving})
	case f.Cold:
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.ReportedCold})
	case f.Kind == backend.NotSent, f.Kind == backend.MayHaveRun, f.Kind == backend.Truncated:
		s.Notify(controlstate.CallFinished{Server: key, Outcome: controlstate.Failed})
	}
}

func (c *chatRun) now() clock.Millis { return c.server.Common.Clock.Now() }
