package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestInterruptionCause tells apart who ended a response.
func TestInterruptionCause(t *testing.T) {
	const deadline = clock.Millis(1_000)
	cases := map[string]struct {
		successor *plannedAttempt
		now       clock.Millis
		want      string
	}{
		"server":                      {nil, 500, causeServer},
		"next attempt planned":        {&plannedAttempt{}, 500, causeReplaced},
		"deadline":                    {nil, deadline, causeDeadline},
		"deadline, one had been free": {&plannedAttempt{}, deadline, causeDeadline},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ex := &exchange{deadline: deadline, succession: succession{successor: c.successor}}
			assert.Equal(t, ex.interruptionCause(c.now), c.want)
		})
	}
}
