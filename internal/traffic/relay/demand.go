package relay

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// demandClass returns the class under which the request is counted. It is fixed at arrival,
// so that the request leaves the ledger as it came.
func (ex *exchange) demandClass() demand.Class {
	return demand.Class{Pool: ex.pool.Name, Account: ex.account.Name, Urgency: ex.priority()}
}

// expectedWork returns how long the request is expected to occupy a slot of a server that
// has nothing else to do.
func (ex *exchange) expectedWork() clock.Millis {
	pool, _ := ex.relay.View().Catalog.Pool(ex.pool.Name)
	latency := ex.relay.Balancer.LatencyModel(ex.pool.Name, ex.attemptModel(ex.route))
	if !pool.HasEngines() {
		return latency.FirstByte(ex.req.Prompt.Tokens)
	}
	return latency.PrefillTime(ex.req.Prompt.Tokens) + ex.expectedStreamTime(pool, latency)
}
