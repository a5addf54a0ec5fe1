package cascade_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
)

// The retry budget of the replay, an assumption: with it, escalations run short at twice the
// traffic, as they did on the crowded deployment.
const (
	replayRetryRatio     = 0.6
	replayRetryAllowance = 54
	replayRetryWindow    = 10_000
)

// playFullPool replays twice the crowded deployment's traffic for 12 s with reports that are 0.8
// to 1.2 s old. It returns the requests of that time, the share of those that began in target,
// and the share that was placed anew.
func playFullPool(t *testing.T, seed uint64, limited bool) (n int, inTarget, moved float64) {
	p := newReplay(seed)
	p.budgets = make(map[*loadbalance.Balancer]*admission.SharedRetryBudget)
	for _, b := range p.daemons {
		p.budgets[b] = admission.NewSharedRetryBudget(replayRetryRatio, replayRetryAllowance, replayRetryWindow)
		p.budgets[b].SetHostCount(replayedDaemons)
	}
	p.moves, p.limitsSecondAttempts, p.reportDelay = true, limited, 2
	p.play(10_000, 1) // measures latencies
	crowded := p.play(12_000, 2)
	after := p.play(10_000, 1)
	p.play(20_000, 0)
	inTarget, failed, escalated := shares(crowded, all)
	_, _, escalatedAfter := shares(after, all)
	for _, c := range crowded {
		if c.moved {
			moved += 1 / float64(len(crowded))
		}
	}
	t.Logf("limited %t, %d requests: %.4f in target, %.4f failed, %.3f escalated, %.3f after, %.4f placed anew", limited, len(crowded), inTarget, failed, escalated, escalatedAfter, moved)
	return len(crowded), inTarget, moved
}

// TestSecondAttemptsAtTwiceTheTraffic guards against second attempts that take the retry budget
// from escalations while requests queue at every server.
func TestSecondAttemptsAtTwiceTheTraffic(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			_, _, moved := playFullPool(t, seed, true)
			assert.Check(t, moved <= 0.05)
		})
	}
}

// TestFewSecondAttemptsKeepTargets guards against a limit of second attempts that has requests
// miss their targets.
func TestFewSecondAttemptsKeepTargets(t *testing.T) {
	requests, inTarget := map[bool]float64{}, map[bool]float64{}
	for seed := range uint64(3) {
		for _, limited := range []bool{false, true} {
			n, share, _ := playFullPool(t, seed, limited)
			requests[limited] += float64(n)
			inTarget[limited] += share * float64(n)
		}
	}
	limited, unlimited := inTarget[true]/requests[true], inTarget[false]/requests[false]
	t.Logf("%.4f in target, %.4f without the limit", limited, unlimited)
	assert.Check(t, limited >= unlimited)
}
