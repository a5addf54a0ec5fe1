package caller

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

const millisPerSecond = 1000.0

// Metrics holds the daemon's metrics. Labels take only values that the
// configuration names, so their number is bounded.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Set returns the set, for gauges of other packages.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Write writes all metrics in the text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) observe(i *info, now clock.Millis) {
	labels := fmt.Sprintf(`{account=%q,class=%q}`, i.account, i.class)
	m.set.GetOrCreateHistogram("gypsumpitch_request_seconds" + labels).Update(float64(now-i.began) / millisPerSecond)
	if i.firstAt > 0 {
		m.set.GetOrCreateHistogram("gypsumpitch_first_byte_seconds" + labels).Update(float64(i.firstAt-i.began) / millisPerSecond)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_requests_total{account=%q,class=%q,code="%d"}`, i.account, i.class, i.code.Number)).Inc()
	if i.retries > 0 {
		m.set.GetOrCreateCounter("gypsumpitch_retries_total" + labels).Add(i.retries)
	}
}

func (m *Metrics) dropped(code result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_answers_dropped_total{code="%d"}`, code.Number)).Inc()
}
