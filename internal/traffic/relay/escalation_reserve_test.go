package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestCalmTrafficKeepsItsEscalations guards against a reserve for urgent requests that keeps the
// least urgent ones from escalations while the usual traffic leaves enough of the retry budget: a
// daemon's requests come in a wave of 27%, 0.55 of them need an escalation, 0.02 another retry.
func TestCalmTrafficKeepsItsEscalations(t *testing.T) {
	const (
		perSecond  = 9.5 // of one of 59 daemons
		escalating = 0.55
		retrying   = 0.02
		least      = 0.95
	)
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := admission.NewSharedRetryBudget(0.9, 158, 10_000)
			b.SetHostCount(59)
			b.SetCountsEarlier(func(string, clock.Millis) bool { return true })
			wanted, allowed := 0, 0
			for now := clock.Millis(1_000_000); now < 1_120_000; now += 10 {
				rate := perSecond * (1 + 0.27*math.Sin(2*math.Pi*float64(now%11_000)/11_000))
				if rng.Float64() >= rate*0.01 {
					continue
				}
				b.RecordRequest("text", now)
				if rng.Float64() < retrying {
					b.TryAcquire("text", now)
				}
				if rng.Float64() >= escalating {
					continue
				}
				precedence := float64(rng.IntN(3) - 1)
				ok := b.AllowsUrgent("text", urgentFraction(precedence), now) && b.TryAcquire("text", now)
				if precedence == -1 {
					wanted++
					if ok {
						allowed++
					}
				}
			}
			share := float64(allowed) / float64(wanted)
			t.Logf("%.3f of %d", share, wanted)
			assert.Check(t, share >= least)
		})
	}
}
