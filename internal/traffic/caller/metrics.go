package caller

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

const millisPerSecond = 1000.0

// Metrics holds the daemon's metrics. Label values are names from the configuration or
// result codes, so the number of time series is bounded. Safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics with a new set.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Set returns the underlying set, to which other packages add gauges.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Write writes all metrics, with those of the process, in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) recordRequest(i *requestInfo, now clock.Millis) {
	labels := fmt.Sprintf(`{account=%q,class=%q}`, i.account, i.class)
	m.set.GetOrCreateHistogram("gypsumpitch_request_seconds" + labels).Update(float64(now-i.startedAt) / millisPerSecond)
	if i.firstByteAt > 0 {
		m.set.GetOrCreateHistogram("gypsumpitch_first_byte_seconds" + labels).Update(float64(i.firstByteAt-i.startedAt) / millisPerSecond)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_requests_total{account=%q,class=%q,code="%d"}`, i.account, i.class, i.code.Number)).Inc()
	if i.retries > 0 {
		m.set.GetOrCreateCounter("gypsumpitch_retries_total" + labels).Add(i.retries)
	}
}

func (m *Metrics) recordDroppedAnswer(code result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_answers_dropped_total{code="%d"}`, code.Number)).Inc()
}
