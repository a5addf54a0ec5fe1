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

// serveWhole runs the cascade and gives the caller one whole answer.
func (c *chatRun) serveWhole(w http.ResponseWriter) {
	ctx, cancel := c.context()
	defer cancel()
	answer, err := c.cascade(ctx)
	if err != nil {
		c.server.refuse(w, c.http, err)
		return
	}
	body, err := answer.Body(c.info.id, c.request)
	if err != nil {
		c.server.refuse(w, c.http, err)
		return
	}
	c.keepBill()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderModelVersion, c.info.version)
	h.Set(HeaderCostMicros, strconv.FormatInt(c.cost, 10))
	h.Set(result.HeaderCode, "0")
	h.Set(result.HeaderRun, string(result.RunYes))
	c.info.firstAt = c.now()
	// The caller may be gone; the answer is billed all the same.
	_, _ = w.Write(body)
}

// cascade starts where the plan says and escalates until an answer is accepted.
func (c *chatRun) cascade(ctx context.Context) (*engine.Response, error) {
	plan := c.server.Quality.Plan(c.info.route, c.info.class, c.tiers, c.route.QualityTarget)
	start := plan.Start
	if start > 0 && c.server.Quality.ShouldExplore(c.info.id, c.info.route, c.info.class, c.tiers[:start]) {
		start = 0
	}
	var best *engine.Response
	bestVersion := ""
	for t := start; t < len(c.tiers); t++ {
		answer, err := c.whole(ctx, c.tiers[t])
		if err != nil && best == nil && t == len(c.tiers)-1 {
			return nil, err
		}
		if err != nil {
			continue
		}
		best, bestVersion = answer, c.info.version
		if t >= plan.Start && accepts(plan, t, answer) {
			break
		}
	}
	if best == nil {
		return nil, result.New(result.NoServer, "no tier of route %s answered", c.info.route)
	}
	c.info.version = bestVersion
	return best, nil
}

func accepts(plan cascade.Plan, tier int, answer *engine.Response) bool {
	return plan.Accepts(tier, answer.Confidence)
}

func (c *chatRun) whole(ctx context.Context, tier quality.Tier) (*engine.Response, error) {
	var answer *engine.Response
	err := c.try(ctx, tier, func(call engine.Call) error {
		var err error
		answer, err = c.server.Engines.Complete(ctx, call, c.request)
		return err
	})
	if err != nil {
		return nil, err
	}
	c.mayHaveRun = true
	c.addCost(tier, answer.Tokens)
	c.submitRating(tier, answer.Text, answer.Confidence)
	return answer, nil
}
