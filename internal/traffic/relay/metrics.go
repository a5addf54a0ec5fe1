package relay

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// Metrics holds the request metrics. It is safe for concurrent use. Label values come
// only from the configuration and the code, so the number of series is bounded.
type Metrics struct {
	set *metrics.Set

	mu             sync.Mutex // guards the maps, which save formatting the metric names
	requests       map[requestKey]*metrics.Counter
	firstByteTimes map[string]*metrics.Histogram // by client account
	requestTimes   map[string]*metrics.Histogram // by client account
	attempts       map[attemptKey]*metrics.Counter
}

// requestKey holds the labels of a finished request.
type requestKey struct {
	pool string
	code result.Code
}

// attemptKey holds the labels of an attempt.
type attemptKey struct {
	pool    string
	outcome string
}

// NewMetrics returns metrics that are registered in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:            set,
		requests:       make(map[requestKey]*metrics.Counter),
		firstByteTimes: make(map[string]*metrics.Histogram),
		requestTimes:   make(map[string]*metrics.Histogram),
		attempts:       make(map[attemptKey]*metrics.Counter),
	}
}

const millisPerSecond = 1000.0

// countRequest counts a finished request and records its duration.
func (m *Metrics) countRequest(pool, account string, code result.Code, elapsed clock.Millis) {
	m.mu.Lock()
	key := requestKey{pool, code}
	counter, ok := m.requests[key]
	if !ok {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_requests_total{pool=%q,code="%d",reason=%q}`, pool, code.Number, code.Name))
		m.requests[key] = counter
	}
	histogram := m.histogram(m.requestTimes, "gypsumpitch_relay_request_seconds", account)
	m.mu.Unlock()
	counter.Inc()
	histogram.Update(float64(elapsed) / millisPerSecond)
}

// recordFirstByte records the time to the first byte of a response.
func (m *Metrics) recordFirstByte(account string, elapsed clock.Millis) {
	m.mu.Lock()
	histogram := m.histogram(m.firstByteTimes, "gypsumpitch_relay_first_byte_seconds", account)
	m.mu.Unlock()
	histogram.Update(float64(elapsed) / millisPerSecond)
}

func (m *Metrics) histogram(histograms map[string]*metrics.Histogram, name, account string) *metrics.Histogram {
	h, ok := histograms[account]
	if !ok {
		h = m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{account=%q}`, name, account))
		histograms[account] = h
	}
	return h
}

// observeMemory registers the gauges of the memory held for callers.
func (m *Metrics) observeMemory(memory *callerMemory) {
	gauge := func(name string, value func() int64) {
		m.set.GetOrCreateGauge("gypsumpitch_relay_"+name, func() float64 { return float64(value()) })
	}
	gauge("buffered_bytes", memory.budget.Used)
	gauge("streams_behind", memory.behind.Load)
	gauge("paused_reads_total", memory.pauses.Load)
	gauge("memory_rejections_total", memory.rejected.Load)
}

// SetTokenMemory records the tokens in use at the servers of the pool that have the most, and
// on average, as shares of one server's memory.
func (m *Metrics) SetTokenMemory(pool string, highest, mean float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`gypsumpitch_token_memory_used{pool=%q,of="fullest"}`, pool), nil).Set(highest)
	m.set.GetOrCreateGauge(fmt.Sprintf(`gypsumpitch_token_memory_used{pool=%q,of="mean"}`, pool), nil).Set(mean)
}

// countUnanswered counts a request that ends without a complete answer by its cause.
func (m *Metrics) countUnanswered(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_unanswered_total{cause=%q}`, cause)).Inc()
}

// countPause counts a server's request for a pause by how it was understood.
func (m *Metrics) countPause(kind PauseKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_pauses_total{kind=%q}`, string(kind))).Inc()
}

// countLimit counts a change of what a server states about its rate limit by how it was
// understood.
func (m *Metrics) countLimit(kind loadbalance.LimitKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_limits_total{kind=%q}`, string(kind))).Inc()
}

// countPace counts a server's statement of its pace by how it was understood.
func (m *Metrics) countPace(kind loadbalance.PaceKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_paces_total{kind=%q}`, string(kind))).Inc()
}

// countCrash counts a server that crashed while this daemon's requests ran there.
func (m *Metrics) countCrash(pool string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_server_crashes_total{pool=%q}`, pool)).Inc()
}

// countAttempt counts an attempt by its outcome.
func (m *Metrics) countAttempt(pool, outcome string) {
	m.mu.Lock()
	key := attemptKey{pool, outcome}
	counter, ok := m.attempts[key]
	if !ok {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_relay_attempts_total{pool=%q,outcome=%q}`, pool, outcome))
		m.attempts[key] = counter
	}
	m.mu.Unlock()
	counter.Inc()
}
