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
	maxKeyBytes      = 200
	maxRecordedBytes = 256 << 10
)

// serveOnce runs a call that may not be repeated, through its claim.
func (a *appRun) serveOnce(w http.ResponseWriter) {
	key := a.http.Header.Get(HeaderIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		a.server.refuse(w, a.http, result.New(result.KeyRequired, "header %s must have 1 to %d bytes", HeaderIdempotencyKey, maxKeyBytes))
		return
	}
	// The call goes on when the caller goes away, so that its outcome is recorded.
	left := a.info.deadline - a.server.Common.Clock.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.http.Context()), left.Duration())
	defer cancel()
	var refusal error
	var fresh *app.Response
	verdict, recorded := a.server.Claims.Execute(ctx, a.info.account+"/"+key, a.claimRow(), func(ctx context.Context) (claim.Outcome, *claim.Answer) {
		verdict, answer, err := a.sendOnce(ctx, key)
		fresh, refusal = answer, err
		return verdict, recordable(answer)
	})
	if verdict == claim.Ran {
		a.write(w, fresh)
		return
	}
	a.answerOnce(w, key, verdict, recorded, refusal)
}

func (a *appRun) claimRow() claim.Row {
	return claim.Row{
		ClaimID:     a.info.id,
		Member:      a.server.Common.Settings.Host,
		Incarnation: a.server.Incarnation,
		Fingerprint: a.fingerprint(),
		LimitMs:     int64(a.info.deadline - a.server.Common.Clock.Now()),
	}
}

// sendOnce sends the call. It is tried at another server only where no
// connection was made or the server's own word says that it wasn't run.
func (a *appRun) sendOnce(ctx context.Context, key string) (claim.Outcome, *app.Response, error) {
	for {
		answer, _, err := a.send(ctx, nil, true)
		if err == nil {
			a.keepBill(billIDOfKey(a.info.account, key))
			return claim.Ran, answer, nil
		}
		failure, isFailure := err.(*backend.Failure) //nolint:errorlint // send returns it unwrapped.
		if !isFailure {
			return claim.NotRun, nil, err
		}
		if !failure.NotRun() {
			return claim.MayHaveRun, nil, resultOf(failure)
		}
		if ctx.Err() != nil || a.attempt >= maxAttempts || !a.server.budget.TryAcquire() {
			return claim.NotRun, nil, resultOf(failure)
		}
		a.info.retries++
	}
}

// recordable is what a duplicate gets; a body over the limit is left out.
func recordable(answer *app.Response) *claim.Answer {
	if answer == nil {
		return nil
	}
	recorded := &claim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	if len(recorded.Body) > maxRecordedBytes {
		recorded.Body = nil
		recorded.Header = answer.Header.Clone()
		http.Header(recorded.Header).Set("X-Body-Not-Recorded", "true")
	}
	return recorded
}

func (a *appRun) answerOnce(w http.ResponseWriter, key string, verdict claim.Outcome, answer *claim.Answer, refusal error) {
	switch verdict {
	case claim.Replayed:
		// The first daemon may have died before it kept the bill; the id is the same.
		a.keepBill(billIDOfKey(a.info.account, key))
		w.Header().Set(HeaderReplayed, "true")
		a.write(w, &app.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body})
	case claim.InProgress:
		a.server.refuse(w, a.http, result.New(result.InProgress, "a call with this key is under way"))
	case claim.KeyReused:
		a.server.refuse(w, a.http, result.New(result.KeyReused, "the key was used with another method, path or body"))
	case claim.ClaimUnavailable:
		a.server.refuse(w, a.http, result.New(result.ClaimUnavailable, "the table service is away"))
	case claim.NotRun:
		if refusal == nil {
			refusal = result.New(result.ClaimUnavailable, "the claim couldn't be confirmed, so the call was not sent")
		}
		a.server.refuse(w, a.http, refusal)
	default:
		if refusal == nil {
			refusal = result.New(result.OutcomeUnknown, "the call may have run and won't be sent again")
		}
		a.server.refuse(w, a.http, refusal)
	}
}
