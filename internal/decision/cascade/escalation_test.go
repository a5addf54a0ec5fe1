package cascade

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

var testThreshold = ConfidenceThreshold{Normal: 58, Overloaded: 44}

// tagEscalation has a short deadline, digestEscalation a long one. The expected times are
// those of an engine whose model has pace 3.0.
func tagEscalation(confidence int, utilisation float64) Escalation {
	return Escalation{Confidence: confidence, Elapsed: 26, FirstByte: 150, Complete: 700, Target: 2_000, Deadline: 4_000, Utilisation: utilisation}
}

func digestEscalation(confidence int, utilisation float64) Escalation {
	return Escalation{Confidence: confidence, Elapsed: 90, FirstByte: 600, Complete: 5_000, Target: 6_000, Deadline: 20_000, Utilisation: utilisation}
}

// TestEscalates guards against discarding a small model's answer for one that comes late or
// takes the room of other requests, and against keeping it while there is room.
func TestEscalates(t *testing.T) {
	urgent := func(e Escalation, precedence float64) Escalation {
		e.Precedence = precedence
		return e
	}
	rising := func(e Escalation, rise float64) Escalation {
		e.Rise = rise
		return e
	}
	waiting := func(e Escalation, wait clock.Millis) Escalation {
		e.Wait = wait
		return e
	}
	cases := map[string]struct {
		escalation Escalation
		want       bool
	}{
		"calm":                                  {tagEscalation(40, 0.2), true},
		"unknown room":                          {tagEscalation(40, 0), true},
		"calm, sure answer":                     {tagEscalation(60, 0.2), false},
		"full":                                  {tagEscalation(10, 1), false},
		"full, time to spare":                   {digestEscalation(10, 1), false},
		"queueing":                              {digestEscalation(0, 1.4), false},
		"three quarters full, doubtful answer":  {tagEscalation(50, 0.76), false},
		"three quarters full, poor answer":      {tagEscalation(20, 0.76), true},
		"three quarters full, short deadline":   {tagEscalation(40, 0.76), false},
		"three quarters full, time to spare":    {digestEscalation(40, 0.76), true},
		"nearly full, poor answer":              {tagEscalation(20, 0.89), false},
		"nearly full, time to spare":            {digestEscalation(40, 0.89), false},
		"nearly full, worthless answer":         {tagEscalation(5, 0.89), true},
		"least urgent, half full":               {urgent(digestEscalation(40, 0.5), -1), true},
		"least urgent, nearly full":             {urgent(digestEscalation(40, 0.76), -1), false},
		"most urgent, nearly full":              {urgent(tagEscalation(40, 0.76), 1), true},
		"most urgent, full":                     {urgent(tagEscalation(40, 1.01), 1), false},
		"half full and rising":                  {rising(tagEscalation(40, 0.5), 0.3), false},
		"half full and rising, most urgent":     {rising(urgent(tagEscalation(40, 0.5), 1), 0.3), true},
		"wait beyond the deadline":              {waiting(tagEscalation(10, 0.2), 3_300), false},
		"complete just in time":                 {waiting(tagEscalation(10, 0.2), 3_200), true},
		"in time by its wait, not by its first": {Escalation{Confidence: 10, Elapsed: 30, FirstByte: 100, Complete: 4_000, Target: 2_000, Deadline: 4_000}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, testThreshold.Escalates(c.escalation), c.want, "%+v", c.escalation)
		})
	}
}

// TestThresholdFallsByDegrees guards against a threshold that jumps or rises as the pool
// fills, against one that keeps more than the most probably wrong answers from the callers
// of a full pool, and against one that is left above 0 while requests queue.
func TestThresholdFallsByDegrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := clock.Millis(rapid.IntRange(300, 10_000).Draw(t, "target"))
		e := Escalation{
			Elapsed: clock.Millis(rapid.IntRange(0, 2_000).Draw(t, "elapsed")), FirstByte: clock.Millis(rapid.IntRange(1, 5_000).Draw(t, "first byte")),
			Wait: clock.Millis(rapid.IntRange(0, 3_000).Draw(t, "wait")), Target: target, Deadline: target + clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "deadline")),
		}
		e.Complete = e.FirstByte + clock.Millis(rapid.IntRange(0, 10_000).Draw(t, "stream"))
		e.Precedence = rapid.Float64Range(-1, 1).Draw(t, "precedence")
		last := testThreshold.Threshold(e)
		for percent := 1; percent <= 125; percent++ {
			e.Utilisation = float64(percent) / 100
			threshold := testThreshold.Threshold(e)
			assert.Assert(t, threshold <= last && threshold >= last-testThreshold.Normal/10, "from %d to %d at %d%%", last, threshold, percent)
			last = threshold
			assert.Assert(t, percent < 100 || last <= leastThreshold)
		}
		assert.Equal(t, last, 0)
	})
}

// TestLargestIsCheaper guards against starting with the largest model where that costs more
// than the small one's prefill saves.
func TestLargestIsCheaper(t *testing.T) {
	small, largest := ModelCost{Prefill: 60, Output: 3}, ModelCost{Prefill: 600, Output: 30}
	cases := map[string]struct {
		small, largest ModelCost
		share          float64
		want           bool
	}{
		"few are escalated":     {small, largest, 0.4, false},
		"nearly all are":        {small, largest, 0.95, true},
		"all, unknown costs":    {ModelCost{}, ModelCost{}, 1, false},
		"all, a small one free": {ModelCost{}, largest, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, LargestIsCheaper(c.small, c.largest, c.share), c.want) })
	}
}

// TestEscalationRates guards against a share of too few answers, and against one that is kept
// after the small model is no longer asked.
func TestEscalationRates(t *testing.T) {
	var r EscalationRates
	for i := range 60 {
		r.Record("tag", 2_368, i%3 > 0, 1_000)
		assert.Assert(t, i >= 19 || r.Share("tag", 2_368, 1_000) == 0)
	}
	share := r.Share("tag", 2_368, 1_000)
	assert.Assert(t, share > 0.66 && share < 0.67, "%v", share)
	assert.Equal(t, r.Share("tag", 12_000, 1_000), 0.0, "another size")
	assert.Equal(t, r.Share("question", 2_368, 1_000), 0.0, "another route")
	assert.Equal(t, r.Share("tag", 2_368, 61_000), 0.0, "expired")
}
