package caller

import (
	"context"
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/claim"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/app"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

const (
	maxIdempotencyKeyBytes = 200
	maxRecordedBodyBytes   = 256 << 10
)

// serveAtMostOnce serves a call that may run at most once. The claim on its idempotency
// key prevents another run.
func (ex *appExchange) serveAtMostOnce(w http.ResponseWriter) {
	key := ex.httpReq.Header.Get(HeaderIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		ex.server.reject(w, ex.httpReq, result.New(result.KeyRequired, "header %s must be 1 to %d bytes long", HeaderIdempotencyKey, maxIdempotencyKeyBytes))
		return
	}
	// The call continues after the caller disconnects, so that its outcome is recorded.
	remaining := ex.info.deadline - ex.server.Common.Clock.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ex.httpReq.Context()), remaining.Duration())
	defer cancel()
	var rejection error
	var response *app.Response
	outcome, recorded := ex.server.Claims.Execute(ctx, ex.info.account+"/"+key, ex.claimRow(), func(ctx context.Context) (claim.Outcome, *claim.Answer) {
		outcome, attempted, err := ex.sendAtMostOnce(ctx, key)
		response, rejection = attempted, err
		return outcome, recordedAnswer(attempted)
	})
	if outcome == claim.Ran {
		ex.writeResponse(w, response)
		return
	}
	ex.writeOutcome(w, key, outcome, recorded, rejection)
}

func (ex *appExchange) claimRow() claim.Row {
	return claim.Row{
		ClaimID:     ex.info.id,
		Member:      ex.server.Common.Settings.Host,
		Incarnation: ex.server.Incarnation,
		Fingerprint: ex.fingerprint(),
		LimitMs:     int64(ex.info.deadline - ex.server.Common.Clock.Now()),
	}
}

// sendAtMostOnce sends the call. It is retried only if no connection was made or the
// server reported that the call did not run.
func (ex *appExchange) sendAtMostOnce(ctx context.Context, key string) (claim.Outcome, *app.Response, error) {
	for {
		response, _, err := ex.send(ctx, nil, true)
		if err == nil {
			ex.recordBill(billIDForKey(ex.info.account, key))
			return claim.Ran, response, nil
		}
		failure, isFailure := err.(*backend.Failure) //nolint:errorlint // send returns it unwrapped.
		if !isFailure {
			return claim.NotRun, nil, err
		}
		if !failure.NotRun() {
			return claim.MayHaveRun, nil, resultError(failure)
		}
		if ctx.Err() != nil || ex.attempts >= maxAttempts || !ex.server.retryBudget.TryAcquire() {
			return claim.NotRun, nil, resultError(failure)
		}
		ex.info.retries++
	}
}

// recordedAnswer returns the answer to record for duplicates of the call. A body over
// maxRecordedBodyBytes is omitted, which a header of the answer reports.
func recordedAnswer(response *app.Response) *claim.Answer {
	if response == nil {
		return nil
	}
	recorded := &claim.Answer{Status: response.Status, Header: response.Header, Body: response.Body}
	if len(recorded.Body) > maxRecordedBodyBytes {
		recorded.Body = nil
		recorded.Header = response.Header.Clone()
		http.Header(recorded.Header).Set("X-Body-Not-Recorded", "true")
	}
	return recorded
}

func (ex *appExchange) writeOutcome(w http.ResponseWriter, key string, outcome claim.Outcome, recorded *claim.Answer, rejection error) {
	switch outcome {
	case claim.Replayed:
		// The daemon that ran the call may have crashed before it recorded the bill. The
		// bill's ID is the same, so it is not recorded twice.
		ex.recordBill(billIDForKey(ex.info.account, key))
		w.Header().Set(HeaderReplayed, "true")
		ex.writeResponse(w, &app.Response{Status: recorded.Status, Header: recorded.Header, Body: recorded.Body})
	case claim.InProgress:
		ex.server.reject(w, ex.httpReq, result.New(result.InProgress, "a call with this idempotency key is in progress"))
	case claim.KeyReused:
		ex.server.reject(w, ex.httpReq, result.New(result.KeyReused, "the idempotency key was used with another method, path or body"))
	case claim.ClaimUnavailable:
		ex.server.reject(w, ex.httpReq, result.New(result.ClaimUnavailable, "the table service is unavailable"))
	case claim.NotRun:
		if rejection == nil {
			rejection = result.New(result.ClaimUnavailable, "the claim could not be confirmed, so the call was not sent")
		}
		ex.server.reject(w, ex.httpReq, rejection)
	default:
		if rejection == nil {
			rejection = result.New(result.OutcomeUnknown, "the call may have run and will not be retried")
		}
		ex.server.reject(w, ex.httpReq, rejection)
	}
}
