package relay

import "fmt"

// Decisions about small answers of low confidence, in metrics.
const (
	escalationKept      = "kept"      // at the utilisation of the pool
	escalationDiscarded = "discarded" // in favour of the largest model's answer
	escalationNoRoom    = "no_room"   // kept, since the chosen server had no room
)

// countEscalation counts a decision about a small answer of low confidence.
func (m *Metrics) countEscalation(pool, decision string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_escalations_total{pool=%q,decision=%q}`, pool, decision)).Inc()
}
