package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// largestModel returns the index of the route's largest model.
func (ex *exchange) largestModel() int { return max(len(ex.route.Models)-1, 0) }

// firstModel returns the index of the model that a request starts with. That is the
// smallest one: its response header arrives soon and states its confidence. A resumed
// stream is continued by the largest model, since it is unknown which model produced
// the beginning.
//
// Escalations use the retry budget, too. While failures exhaust it, an answer of low
// confidence would have to be accepted, so the request starts on the largest model if
// that one is expected to respond within half of the latency target.
func (ex *exchange) firstModel(now clock.Millis) int {
	r := ex.relay
	if ex.req.LastEventID != "" {
		return ex.largestModel()
	}
	pool := ex.route.PoolAt(ex.poolPoint())
	if len(ex.route.Models) >= 2 && r.Balancer.AdaptsToLoad(pool, now) {
		return ex.firstModelUnderLoad(pool, now)
	}
	if len(ex.route.Models) < 2 || r.RetryBudget.AllowsOptional(pool, now) {
		return 0
	}
	firstByte := r.Balancer.LatencyModel(pool, ex.route.Models[ex.largestModel()]).FirstByte(ex.req.Prompt.Tokens)
	if firstByte < ex.route.LatencyTarget/2 {
		return ex.largestModel()
	}
	return 0
}

// attemptModel returns the model that the next attempt requests on the route; empty if
// none is named.
func (ex *exchange) attemptModel(route *catalog.Route) string {
	if !ex.req.AnyModel {
		return ex.req.Model
	}
	if len(route.Models) == 0 {
		return ""
	}
	return route.Models[min(ex.modelIndex, len(route.Models)-1)]
}

// shouldEscalate reports whether a small model's answer, of which the caller has
// received nothing yet, is discarded in favour of the largest model's.
func (ex *exchange) shouldEscalate(info ResponseInfo, now clock.Millis) bool {
	if !ex.req.AnyModel || ex.headerSent || ex.escalation != notEscalated || ex.modelIndex >= ex.largestModel() || info.Confidence < 0 {
		return false
	}
	// One attempt is reserved for a retry after a server failure.
	if len(ex.executedOn)+2 > ex.route.MaxAttempts {
		return false
	}
	// A response fails if it completes after the deadline, however soon it starts.
	latency := ex.relay.Balancer.LatencyModel(ex.pool.Name, ex.route.Models[ex.largestModel()])
	firstByte := latency.FirstByte(ex.req.Prompt.Tokens)
	complete := firstByte + ex.expectedStreamTime(ex.pool, latency)
	if ex.relay.Balancer.AdaptsToLoad(ex.pool.Name, now) {
		return ex.escalatesUnderLoad(info.Confidence, firstByte, complete, now)
	}
	if now+complete >= ex.deadline {
		return false
	}
	elapsed := now - ex.req.ReceivedAt
	threshold := ex.relay.ConfidenceThreshold.At(max(
		ratio(elapsed+firstByte, ex.route.LatencyTarget),
		ratio(elapsed+complete, ex.deadline-ex.req.ReceivedAt),
	))
	return info.Confidence < threshold && ex.relay.RetryBudget.AllowsOptional(ex.pool.Name, now)
}

// ratio returns a / b, with b at least 1 ms.
func ratio(a, b clock.Millis) float64 { return float64(a) / float64(max(b, 1)) }

// escalation is the state of a request whose small model's answer may be discarded.
type escalation int

const (
	notEscalated escalation = iota
	escalated               // the largest model is requested
	fellBack                // the largest model had no server; the small one is requested again
)

// modelChoice is which of the route's models the request uses.
type modelChoice struct {
	modelIndex int // in the route's models, smallest first
	escalation escalation
	smallModel int         // index of the model whose answer was discarded
	kept       *keptAnswer // of that model
	keptMemory heldMemory  // by kept
	keeping    bool        // a small model's answer is being read to its end
}

// planEscalation plans an attempt on the largest model. It reports false if none can be
// made that is likely to succeed, so that the small model's answer is kept.
func (ex *exchange) planEscalation(server *fleet.Entry, now clock.Millis) bool {
	small := ex.modelIndex
	ex.modelIndex = ex.largestModel()
	next, rejection := ex.planLargest(server, now)
	if rejection != nil {
		ex.modelIndex = small
		ex.countPlanned(false, now)
		ex.log("not escalated", server, "reason", rejection.Error())
		return false
	}
	ex.countPlanned(true, now)
	ex.releaseSuccessor()
	ex.successor, ex.replaced = next, true
	ex.escalation, ex.smallModel = escalated, small
	return true
}

// escalate discards the small model's answer, or keeps it until the largest model's begins.
func (ex *exchange) escalate() {
	server := &ex.current.choice.Server
	ex.log("escalated", server)
	ex.relay.Metrics.countAttempt(ex.pool.Name, "escalated")
	ex.lastError = "the small model's confidence was too low"
	ex.keepAnswer(server, ex.current.resp, ex.relay.Clock.Now())
	ex.recordExecution(server)
}

// fallBackToSmallModel requests the small model again if the largest has no server for the
// request whose small answer was discarded. It reports false if there is nothing to fall
// back to.
func (ex *exchange) fallBackToSmallModel(rejection *result.Error) bool {
	if ex.escalation != escalated || ex.headerSent {
		return false
	}
	ex.escalation, ex.modelIndex = fellBack, ex.smallModel
	ex.log("fell back to the small model", nil, "reason", rejection.Error())
	return true
}
