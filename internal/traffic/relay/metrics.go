package relay

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// Metrics counts requests. Labels take only values that the configuration names
// or the code knows, so their number is bounded.
type Metrics struct {
	set *metrics.Set

	mu       sync.Mutex // of the maps, which save the making of names
	outcomes map[outcomeKey]*metrics.Counter
	first    map[string]*metrics.Histogram // by client account
	whole    map[string]*metrics.Histogram
	attempts map[attemptKey]*metrics.Counter
}

// outcomeKey is the end of a request.
type outcomeKey struct {
	pool string
	code result.Code
}

// attemptKey is what became of one sending.
type attemptKey struct {
	pool string
	what string
}

// NewMetrics returns metrics that belong to the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:      set,
		outcomes: make(map[outcomeKey]*metrics.Counter),
		first:    make(map[string]*metrics.Histogram),
		whole:    make(map[string]*metrics.Histogram),
		attempts: make(map[attemptKey]*metrics.Counter),
	}
}

const millisPerSecond = 1000.0

// ended counts a request that ended with the code.
func (m *Metrics) ended(pool, account string, code result.Code, took clock.Millis) {
	m.mu.Lock()
	key := outcomeKey{pool, code}
	counter, ok := m.outcomes[key]
	if !ok {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_requests_total{pool=%q,code="%d",reason=%q}`, pool, code.Number, code.Name))
		m.outcomes[key] = counter
	}
	histogram := m.histogram(m.whole, "gypsumpitch_relay_request_seconds", account)
	m.mu.Unlock()
	counter.Inc()
	histogram.Update(float64(took) / millisPerSecond)
}

// head takes in how long the first bytes of an answer took.
func (m *Metrics) head(account string, took clock.Millis) {
	m.mu.Lock()
	histogram := m.histogram(m.first, "gypsumpitch_relay_first_byte_seconds", account)
	m.mu.Unlock()
	histogram.Update(float64(took) / millisPerSecond)
}

func (m *Metrics) histogram(known map[string]*metrics.Histogram, name, account string) *metrics.Histogram {
	h, ok := known[account]
	if !ok {
		h = m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{account=%q}`, name, account))
		known[account] = h
	}
	return h
}

// attempt counts what became of one sending.
func (m *Metrics) attempt(pool, what string) {
	m.mu.Lock()
	key := attemptKey{pool, what}
	counter, ok := m.attempts[key]
	if !ok {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_attempts_total{pool=%q,outcome=%q}`, pool, what))
		m.attempts[key] = counter
	}
	m.mu.Unlock()
	counter.Inc()
}
