package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// LatencyModel predicts the latency of one model in one pool: the time to the first
// byte as a linear function of the prefill tokens, and the time between events. Both
// are fitted to the answers with exponentially decaying weights. The zero value
// predicts defaults. It is immutable; the With methods return changed copies.
type LatencyModel struct {
	weight       float64 // decayed number of answers
	meanTokens   float64
	meanMs       float64 // of the time to the first byte
	meanTokensSq float64 // of the squared tokens
	meanProduct  float64 // of tokens x time to the first byte in ms
	interEventMs float64 // 0 while unknown
}

const (
	// firstByteAnswers is the number of answers after which the weight of an earlier
	// one has fallen to about a third.
	firstByteAnswers = 60
	// interEventAnswers is the same for the time between events.
	interEventAnswers = 20
	// minWeight is the number of answers that the fit needs.
	minWeight = 8
	// defaultFirstByteMs is the time to the first byte that is assumed until the fit has
	// enough answers.
	defaultFirstByteMs = 1_000.0
	// defaultInterEventMs is the time between events that is assumed before the first
	// measurement.
	defaultInterEventMs = 100.0
	// maxInterEventMs caps a measured pause: longer ones are faults of the server.
	maxInterEventMs = 1_000.0
)

// WithFirstByte returns the model updated with the time to the first byte of an answer
// whose prefill had the given number of tokens.
func (m LatencyModel) WithFirstByte(tokens int, firstByte clock.Millis) LatencyModel {
	const keep = 1 - 1.0/firstByteAnswers
	x, y := float64(tokens), float64(firstByte)
	total := m.weight*keep + 1
	old, share := m.weight*keep/total, 1/total
	m.meanTokens = m.meanTokens*old + x*share
	m.meanMs = m.meanMs*old + y*share
	m.meanTokensSq = m.meanTokensSq*old + x*x*share
	m.meanProduct = m.meanProduct*old + x*y*share
	m.weight = total
	return m
}

// WithInterEvent returns the model updated with a time between two events.
func (m LatencyModel) WithInterEvent(ms float64) LatencyModel {
	ms = min(ms, maxInterEventMs)
	if m.interEventMs == 0 {
		m.interEventMs = ms
		return m
	}
	m.interEventMs += (ms - m.interEventMs) / interEventAnswers
	return m
}

const (
	// defaultPrefillMs is the prefill time per token that is assumed before the fit has
	// enough answers; minPrefillMs and maxPrefillMs bound the fitted value.
	defaultPrefillMs = 0.03
	minPrefillMs     = 0.002
	maxPrefillMs     = 0.2
	// maxBaseMs bounds the latency that doesn't depend on the prompt.
	maxBaseMs = 5_000.0
)

// prefillMs returns the prefill time per token, in ms.
func (m LatencyModel) prefillMs() float64 {
	variance := m.meanTokensSq - m.meanTokens*m.meanTokens
	if m.weight < minWeight || variance < 1 {
		return defaultPrefillMs
	}
	return min(max((m.meanProduct-m.meanTokens*m.meanMs)/variance, minPrefillMs), maxPrefillMs)
}

// PrefillTime returns the expected prefill time of the tokens.
func (m LatencyModel) PrefillTime(tokens int) clock.Millis {
	return clock.Millis(m.prefillMs() * float64(tokens))
}

// BaseLatency returns the part of the time to the first byte that doesn't depend on the
// prompt; 0 while there are too few measurements.
func (m LatencyModel) BaseLatency() clock.Millis {
	if m.weight < minWeight {
		return 0
	}
	return clock.Millis(min(max(m.meanMs-m.prefillMs()*m.meanTokens, 0), maxBaseMs))
}

// FirstByte returns the expected time to the first byte at a server without pending
// prefill.
func (m LatencyModel) FirstByte(tokens int) clock.Millis {
	if m.weight < minWeight {
		return clock.Millis(defaultFirstByteMs)
	}
	return max(m.BaseLatency()+m.PrefillTime(tokens), 1)
}

// FirstByteFromFew is FirstByte that uses the mean of the answers, and the default prefill
// time, while the fit has too few of them. With 390 daemons, a daemon may get eight answers
// only after 18 s, and a default of 1,000 ms at servers that take 60 would make any stated
// pace outweigh all else.
func (m LatencyModel) FirstByteFromFew(tokens int) clock.Millis {
	if m.weight == 0 || m.weight >= minWeight {
		return m.FirstByte(tokens)
	}
	return clock.Millis(max(m.meanMs+defaultPrefillMs*(float64(tokens)-m.meanTokens), 1))
}

// InterEventMs returns the expected time between two events of a stream.
func (m LatencyModel) InterEventMs() float64 {
	if m.interEventMs == 0 {
		return defaultInterEventMs
	}
	return m.interEventMs
}
