package relay

import (
	"fmt"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// addWaiting changes the number of requests that wait for the pool.
func (m *Metrics) addWaiting(pool string, urgency, change int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_waiting_requests{pool=%q,urgency="%d"}`, pool, urgency)).Add(change)
}

// recordWait records how long a request waited for a place.
func (m *Metrics) recordWait(urgency int, account string, elapsed clock.Millis) {
	name := fmt.Sprintf(`gypsumpitch_relay_wait_seconds{urgency="%d",account=%q}`, urgency, account)
	m.set.GetOrCreateHistogram(name).Update(float64(elapsed) / millisPerSecond)
}

// countRejection counts a request for which there was no place in time.
func (m *Metrics) countRejection(pool, reason string, code result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_wait_rejections_total{pool=%q,reason=%q,code="%d"}`, pool, reason, code.Number)).Inc()
}
