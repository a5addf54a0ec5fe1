package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// ampleRoom is the utilisation below which requests may start with the largest model.
const ampleRoom = 0.4

// promptTokenCost is the cost of a prompt token in output tokens; see catalog.Model.
const promptTokenCost = 0.25

// firstModelUnderLoad is firstModel in a pool whose load counts. The largest model comes
// first only with ample room: where it costs less than both models in turn, or where the
// retry budget, which escalations use, is exhausted.
func (ex *exchange) firstModelUnderLoad(pool string, now clock.Millis) int {
	r, view := ex.relay, ex.relay.View()
	u := r.Balancer.Utilisation(view, pool, r.VersionRouter.AllowedVersions(view, pool, "", ex.req, false), now)
	if u.Load >= ampleRoom {
		return 0
	}
	largest := ex.largestModel()
	latency := r.Balancer.LatencyModel(pool, ex.route.Models[largest])
	if u.Wait(0)+latency.FirstByte(ex.req.Prompt.Tokens) >= ex.route.LatencyTarget/2 {
		return 0
	}
	if !r.RetryBudget.AllowsOptional(pool, now) {
		return largest
	}
	row, _ := view.Catalog.Pool(pool)
	share := r.escalationRates.Share(ex.route.Name, ex.req.Prompt.Tokens, now)
	if cascade.LargestIsCheaper(ex.modelCost(row, ex.route.Models[0]), ex.modelCost(row, ex.route.Models[largest]), share) {
		return largest
	}
	return 0
}

// modelCost returns the cost of the request on the model; 0 if the pool states none.
func (ex *exchange) modelCost(pool catalog.Pool, model string) cascade.ModelCost {
	for _, m := range pool.Models {
		if m.Name == model {
			return cascade.ModelCost{
				Prefill: m.CostPer1000Tokens * promptTokenCost * float64(ex.req.Prompt.Tokens),
				Output:  m.CostPer1000Tokens * float64(ex.expectedTokens()),
			}
		}
	}
	return cascade.ModelCost{}
}

// escalatesUnderLoad reports whether the small model's answer of the confidence is discarded
// in a pool whose load counts. firstByte and complete are the largest model's expected
// times from the start of its run.
func (ex *exchange) escalatesUnderLoad(confidence int, firstByte, complete, now clock.Millis) bool {
	r := ex.relay
	threshold := r.ConfidenceThreshold
	r.escalationRates.Record(ex.route.Name, ex.req.Prompt.Tokens, confidence < threshold.Normal, now)
	u := r.Balancer.Utilisation(ex.view, ex.pool.Name, r.VersionRouter.AllowedVersions(ex.view, ex.pool.Name, ex.route.Name, ex.req, false), now)
	precedence := ex.view.Catalog.Precedence(ex.pool.Name, ex.route.Priority)
	e := cascade.Escalation{
		Confidence:  confidence,
		Elapsed:     now - ex.req.ReceivedAt,
		FirstByte:   firstByte,
		Complete:    complete,
		Wait:        u.Wait(complete),
		Target:      ex.route.LatencyTarget,
		Deadline:    ex.deadline - ex.req.ReceivedAt,
		Utilisation: u.Load,
		Rise:        u.Rise(),
		Precedence:  precedence,
	}
	// The largest model is awaited until the small one's answer would no longer be in time.
	inTime := now+e.Wait+firstByte+ex.smallAnswerTime(ex.model, now) < ex.deadline
	inBudget := r.RetryBudget.AllowsUrgent(ex.pool.Name, urgentFraction(precedence), now)
	escalates := inTime && inBudget && threshold.Escalates(e)
	if confidence >= threshold.Normal {
		// Kept at any load: not a decision worth a line.
		return false
	}
	if !escalates {
		r.Metrics.countEscalation(ex.pool.Name, escalationKept)
	}
	ex.log("small answer of low confidence", nil, "kept", !escalates, "in_budget", inBudget, "threshold", threshold.Threshold(e), "utilisation", u.Load, "rise", e.Rise, "precedence", precedence, "utilisation_age_ms", int64(u.Age),
		"known_servers", u.Known, "servers", u.Servers, "wait_ms", int64(e.Wait), "first_byte_ms", int64(firstByte), "complete_ms", int64(complete),
		"remaining_ms", int64(ex.deadline-now))
	return escalates
}

// urgentFraction returns the fraction of the retry budget that an escalation may use from the
// reserve for retries after failures: the more urgent the route is, the more. A further reserve
// that the less urgent ones leave would cost them one in ten escalations under the usual traffic.
func urgentFraction(precedence float64) float64 { return maxUrgentFraction * max(precedence, 0) }

const maxUrgentFraction = 0.03

// countPlanned counts whether an escalation that the pool's utilisation allows was planned.
func (ex *exchange) countPlanned(planned bool, now clock.Millis) {
	r := ex.relay
	if !r.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		return
	}
	if planned {
		r.Metrics.countEscalation(ex.pool.Name, escalationDiscarded)
	} else {
		r.Metrics.countEscalation(ex.pool.Name, escalationNoRoom)
	}
}

// maxRoomChecks is the number of servers whose room is checked for an escalation. The server
// that has a prompt's beginning cached is the first choice, however many requests share it.
const maxRoomChecks = 3

// planLargest plans an attempt on the largest model in place of the small one's, which runs on
// the server. The error states why none is likely to succeed.
func (ex *exchange) planLargest(server *fleet.Entry, now clock.Millis) (*plannedAttempt, *result.Error) {
	var full []string
	for {
		checked := len(full)
		next, rejection := ex.plan(planRequest{now: now, running: server, excluded: full, check: func(next *plannedAttempt) *result.Error {
			if next.choice.LastResort {
				return result.New(result.NoServer, "only ejected servers are left")
			}
			if !ex.relay.Balancer.AdaptsToLoad(next.pool.Name, now) {
				return nil
			}
			rejection := ex.checkRoom(next, now)
			if rejection != nil {
				full = append(full, next.choice.Server.ID)
			}
			return rejection
		}})
		if len(full) == checked || len(full) == maxRoomChecks {
			return next, rejection
		}
	}
}

// checkRoom returns why the planned escalation has no room at its server: other requests
// queue there, or the response would not be complete in time.
func (ex *exchange) checkRoom(p *plannedAttempt, now clock.Millis) *result.Error {
	r := ex.relay
	backlog := r.Balancer.Backlog(&p.choice.Server, now)
	latency := r.Balancer.LatencyModel(p.pool.Name, p.model)
	complete := p.choice.ExpectedFirstByte + ex.expectedStreamTime(p.pool, latency)
	if backlog.Calls > backlog.Slots || now+complete >= ex.deadline {
		return result.New(result.Overloaded, "%d requests in %d slots, complete in %d ms of %d ms", backlog.Calls, backlog.Slots, complete, ex.deadline-now)
	}
	ex.log("room for escalation", &p.choice.Server, "calls", backlog.Calls, "slots", backlog.Slots, "load_age_ms", int64(backlog.Age),
		"load_known", backlog.Known, "complete_ms", int64(complete), "remaining_ms", int64(ex.deadline-now))
	return nil
}
