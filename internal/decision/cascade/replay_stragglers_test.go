package cascade_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// The periods in which waiting requests and streams are checked, as in relay.exchange.
const (
	waitCheck   = 250 * clock.Millis(1)
	streamCheck = 1_000 * clock.Millis(1)
)

// placeAnew sends the call to another server if that is expected to begin, or to end, sooner.
func (p *replay) placeAnew(c *call) {
	remaining := c.arrivedAt + c.kind.deadline - p.now
	var part float64 // of the retry budget
	var sooner func(next loadbalance.Forecast, latency loadbalance.LatencyModel) bool
	if c.run.firstByteAt == 0 {
		r := loadbalance.Replacement{Waited: p.now - c.sentAt, Target: c.arrivedAt + c.kind.target - p.now, Remaining: remaining}
		if r.Waited < waitCheck || r.Waited%waitCheck != 0 {
			return
		}
		r.Expected = c.daemon.Forecast(c.choice, p.pool, c.model, p.now).FirstByte
		if p.limitsSecondAttempts {
			r.Utilisation = c.daemon.Utilisation(p.view, "text", nil, p.now).Load
		}
		part = r.BudgetPart()
		sooner = func(next loadbalance.Forecast, _ loadbalance.LatencyModel) bool {
			r.Next = next.FirstByte
			return r.BeginsSooner()
		}
	} else {
		since := p.now - c.run.firstByteAt
		if since%streamCheck != 0 {
			return
		}
		interEvent := float64(streamCheck) * tokensPerEvent / max(c.lastTokens-c.run.tokens, 1)
		c.lastTokens = c.run.tokens
		if since == 0 {
			return
		}
		lower := c.pace.Record(interEvent)
		r := loadbalance.StreamReplacement{Events: c.run.tokens / tokensPerEvent, InterEvent: lower, Remaining: remaining}
		if !r.MissesDeadline() {
			return
		}
		part = r.BudgetPart()
		sooner = func(next loadbalance.Forecast, latency loadbalance.LatencyModel) bool {
			r.Next = next.FirstByte + latency.PrefillTime(c.kind.output-int(c.run.tokens))
			r.NextInterEvent = latency.InterEventMs() * max(next.Slowness, 1)
			return r.FinishesSooner()
		}
	}
	budget := p.budgets[c.daemon]
	if budget != nil && (!budget.AllowsOptional("text", p.now) || (p.limitsSecondAttempts && !budget.AllowsSecondAttempt("text", part, p.now))) {
		return
	}
	request := p.request(c, c.model)
	request.Tried = func(id string) bool { return id == c.server }
	choice, result := c.daemon.Choose(p.view, request)
	if result != loadbalance.Chosen {
		return
	}
	if !sooner(c.daemon.Forecast(&choice, p.pool, c.model, p.now), c.daemon.LatencyModel("text", c.model)) {
		c.daemon.Cancel(&choice)
		return
	}
	if budget != nil {
		budget.TryAcquire("text", p.now)
		budget.RecordSecondAttempt("text", p.now)
	}
	former := c.run
	c.daemon.Done(c.choice)
	p.engines[c.server].remove(former)
	c.moved, c.server, c.sentAt = true, choice.Server.ID, p.now
	p.engines[c.server].add(c, c.model, &choice)
	c.run.tokens = former.tokens
	c.run.prefill += c.run.pace * (float64(c.kind.output) - former.tokens) / prefillPerMs
}

// TestStragglersArePlacedAnew replays the crowded deployment's traffic while a tenth of the
// engines takes eight times as long for 12 s, and states it. It guards against streams that are
// cut off by their deadline while other engines would complete them, and against so many
// re-placements that they exceed the retry budget, a tenth of the requests.
func TestStragglersArePlacedAnew(t *testing.T) { playStragglers(t, true) }

// TestStragglersOfUnstatedPace guards against the same with engines that don't state their pace.
// The daemons then learn it only from the requests that the slow engines get.
func TestStragglersOfUnstatedPace(t *testing.T) { playStragglers(t, false) }

func playStragglers(t *testing.T, statesPace bool) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			p := newReplay(seed)
			p.moves, p.statesPace = true, statesPace
			before := p.play(10_000, 1)
			p.slowDown(8)
			during := p.play(12_000, 1)
			p.slowDown(1)
			p.play(20_000, 0)
			calls := slices.Concat(before, during)
			inTarget, failed, _ := shares(calls, all)
			moved := 0
			for _, c := range calls {
				if c.moved {
					moved++
				}
			}
			t.Logf("%d requests: %.3f in target, %.4f failed, %d placed anew", len(calls), inTarget, failed, moved)
			assert.Check(t, failed <= 0.01)
			assert.Check(t, moved <= len(calls)/10)
		})
	}
}

// slowDown sets the factor of every tenth engine.
func (p *replay) slowDown(factor float64) {
	for i, id := range p.ids {
		if i%10 == 0 {
			p.engines[id].slow = factor
		}
	}
}
