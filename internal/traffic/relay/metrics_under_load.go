package relay

import "fmt"

// Decisions about small answers of low confidence, in metrics.
const (
	escalationKept      = "kept"      // at the utilisation of the pool
	escalationDiscarded = "discarded" // in favour of the largest model's answer
	escalationNoRoom    = "refused"   // kept, since no server had room, or the retry budget none
)

// countEscalation counts a decision about a small answer of low confidence.
func (m *Metrics) countEscalation(pool, decision string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_escalations_total{pool=%q,decision=%q}`, pool, decision)).Inc()
}

// Outcomes of the decision about a second attempt while the first one runs, in metrics.
const (
	secondRefused  = "refused"      // no server is expected to begin sooner
	secondFullPool = "full_pool"    // the pool is full, and neither the request nor its deadline is at risk
	secondNoBudget = "no_budget"    // second attempts have used their part of the retry budget
	secondLost     = "lost"         // the server may have lost the request
	secondSooner   = "sooner"       // placed anew: another server is expected to begin sooner
	secondSmall    = "small_model"  // the small model's answer must be in time
	secondStream   = "stream_moved" // placed anew: the stream would miss its deadline
)

// countSecondAttempt counts a decision about a second attempt.
func (m *Metrics) countSecondAttempt(pool, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_second_attempts_total{pool=%q,outcome=%q}`, pool, outcome)).Inc()
}
