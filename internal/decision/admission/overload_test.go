package admission_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// crowded is the deployment with twice the traffic for 12 s.
func crowded() load {
	return load{servers: 140, daemons: 59, duration: 30_000, accounts: 24, seed: 1, factor: func(now clock.Millis) float64 {
		if now >= 8_000 && now < 20_000 {
			return 2
		}
		return 1
	}}
}

// TestOverload guards against requests that wait at full servers until their deadline, and
// against urgent requests that miss their target although less urgent ones could wait: the
// daemons' queue must serve more of the urgent requests in target than sending to servers
// with up to 1.5 x slots, and fewer requests may end at their deadline.
func TestOverload(t *testing.T) {
	cases := map[string]func(*load){
		"twice the traffic": func(*load) {},
		"a third of servers lost": func(l *load) {
			l.lostAt, l.backAt, l.factor = 8_000, 20_000, func(clock.Millis) float64 { return 1.3 }
		},
		"impatient callers": func(l *load) { l.ignoring = 0.5 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := crowded()
			change(&l)
			before := play(l)
			l.shared = true
			after := play(l)
			t.Log(before.summary())
			t.Log(after.summary())
			urgentBefore, _ := before.inTarget("question")
			urgentAfter, _ := after.inTarget("question")
			assert.Assert(t, urgentAfter >= urgentBefore, "urgent requests in target: %d, before %d", urgentAfter, urgentBefore)
			assert.Assert(t, after.count("late") < before.count("late"), "at their deadline: %d, before %d", after.count("late"), before.count("late"))
			assert.Equal(t, after.freeWhile, 0, "rejected while a slot is free and nothing waits")
		})
	}
}

// TestImpatientCallersGainNothing guards against a Retry-After that costs the callers that
// heed it their places: of the rejected callers, those that return at once must not be served
// more often than the others.
func TestImpatientCallersGainNothing(t *testing.T) {
	l := crowded()
	l.ignoring, l.shared = 0.5, true
	r := play(l)
	t.Log(r.summary())
	ignoring, patient := r.servedReturns()
	t.Logf("served after a rejection: %.3f of the callers that return at once, %.3f of the others", ignoring, patient)
	assert.Assert(t, ignoring <= patient, "callers that ignore Retry-After gain")
}
