package cascade

import (
	"math"
	"math/bits"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// rateHalfLifeMs makes the measured shares expire, so that a route whose requests
	// start with the largest model tries the small one again.
	rateHalfLifeMs = 15_000.0
	// minRateAnswers is the number of answers, decayed, that a share needs.
	minRateAnswers = 20.0
	// maxRates bounds the measured shares. Routes come from the configuration.
	maxRates = 4_096
)

// EscalationRates measures the share of small answers whose confidence is below the
// threshold, by route and size of the prompt. The zero value is empty. It is safe for
// concurrent use.
type EscalationRates struct {
	mu    sync.Mutex
	rates map[rateKey]escalationRate
}

// rateKey identifies requests that are likely to be escalated alike.
type rateKey struct {
	route string
	size  int // bits of the number of prompt tokens
}

// escalationRate holds decayed counts.
type escalationRate struct {
	answers, low float64
	at           clock.Millis
}

func (r escalationRate) decayed(now clock.Millis) escalationRate {
	keep := math.Exp2(-float64(now-r.at) / rateHalfLifeMs)
	return escalationRate{answers: r.answers * keep, low: r.low * keep, at: now}
}

// Record counts a small model's answer; low reports that its confidence was below the
// threshold of a calm pool.
func (r *EscalationRates) Record(route string, tokens int, low bool, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rates == nil || len(r.rates) >= maxRates {
		r.rates = make(map[rateKey]escalationRate)
	}
	key := rateKey{route, bits.Len(uint(max(tokens, 0)))}
	rate := r.rates[key].decayed(now)
	rate.answers++
	if low {
		rate.low++
	}
	r.rates[key] = rate
}

// Share returns the share of small answers of low confidence; 0 while too few are known.
func (r *EscalationRates) Share(route string, tokens int, now clock.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rates[rateKey{route, bits.Len(uint(max(tokens, 0)))}].decayed(now)
	if rate.answers < minRateAnswers {
		return 0
	}
	return rate.low / rate.answers
}

// ModelCost is the cost of a request on one model, in any unit that both models share.
type ModelCost struct{ Prefill, Output float64 }

// LargestIsCheaper reports whether it costs less to start with the largest model than with
// the small one, of whose answers the given share is discarded. The prefill of a discarded
// answer is spent, its output isn't generated.
func LargestIsCheaper(small, largest ModelCost, share float64) bool {
	direct := largest.Prefill + largest.Output
	return direct > 0 && direct < small.Prefill+share*direct+(1-share)*small.Output
}
