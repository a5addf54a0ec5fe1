package caller

import (
	"context"
	"net/http"
	"strconv"

	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// serveComplete runs the cascade and returns the answer in a single response.
func (ex *chatExchange) serveComplete(w http.ResponseWriter) {
	ctx, cancel := ex.requestContext()
	defer cancel()
	answer, err := ex.runCascade(ctx)
	if err != nil {
		ex.server.reject(w, ex.httpReq, err)
		return
	}
	body, err := answer.Body(ex.info.id, ex.request)
	if err != nil {
		ex.server.reject(w, ex.httpReq, err)
		return
	}
	ex.recordBill()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderModelVersion, ex.info.version)
	h.Set(HeaderCostMicros, strconv.FormatInt(ex.cost, 10))
	h.Set(result.HeaderCode, "0")
	h.Set(result.HeaderRun, string(result.RunYes))
	ex.info.firstByteAt = ex.now()
	// A write fails only if the caller has disconnected; the answer is billed anyway.
	_, _ = w.Write(body)
}

// runCascade requests answers from the plan's starting tier upwards until the plan
// accepts one. It returns the answer of the highest tier that gave one. A request that
// explores starts at the lowest tier.
func (ex *chatExchange) runCascade(ctx context.Context) (*engine.Response, error) {
	plan := ex.server.Quality.Plan(ex.info.route, ex.info.class, ex.tiers, ex.route.QualityTarget)
	start := plan.Start
	if start > 0 && ex.server.Quality.ShouldExplore(ex.info.id, ex.info.route, ex.info.class, ex.tiers[:start]) {
		start = 0
	}
	var best *engine.Response
	bestVersion := ""
	for tier := start; tier < len(ex.tiers); tier++ {
		answer, err := ex.requestAnswer(ctx, ex.tiers[tier])
		if err != nil && best == nil && tier == len(ex.tiers)-1 {
			return nil, err
		}
		if err != nil {
			continue
		}
		best, bestVersion = answer, ex.info.version
		if tier >= plan.Start && accepts(plan, tier, answer) {
			break
		}
	}
	if best == nil {
		return nil, result.New(result.NoServer, "no tier of route %s returned an answer", ex.info.route)
	}
	ex.info.version = bestVersion
	return best, nil
}

func accepts(plan cascade.Plan, tier int, answer *engine.Response) bool {
	return plan.Accepts(tier, answer.Confidence)
}

func (ex *chatExchange) requestAnswer(ctx context.Context, tier quality.Tier) (*engine.Response, error) {
	var answer *engine.Response
	err := ex.runTier(ctx, tier, func(call engine.Call) error {
		var err error
		answer, err = ex.server.Engines.Complete(ctx, call, ex.request)
		return err
	})
	if err != nil {
		return nil, err
	}
	ex.mayHaveRun = true
	ex.addCost(tier, answer.Tokens)
	ex.submitForRating(tier, answer.Text, answer.Confidence)
	return answer, nil
}
