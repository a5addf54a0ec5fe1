package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestPaceMeter checks the pace of streams with the given times of events; -1 means that
// none is reported.
func TestPaceMeter(t *testing.T) {
	cases := map[string]struct {
		events []clock.Millis
		want   clock.Millis
	}{
		"no events":                   {nil, -1},
		"one pause":                   {[]clock.Millis{0, 25}, -1},
		"three events":                {[]clock.Millis{0, 25, 55}, 25},
		"prompts prefilled meanwhile": {[]clock.Millis{0, 25, 450, 476, 900, 925, 1_400, 1_425, 1_450}, 25},
		"events that arrive together": {[]clock.Millis{0, 100, 100, 146, 192, 238, 284, 330, 376}, 46},
		"only the first pauses count": {[]clock.Millis{0, 25, 50, 75, 100, 125, 150, 175, 200, 201, 202, 203}, 25},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, reports := clock.Millis(-1), 0
			m := paceMeter{report: func(pace clock.Millis) { got, reports = pace, reports+1 }}
			for _, at := range c.events {
				m.recordEvent(at)
			}
			m.finish()
			assert.Equal(t, got, c.want)
			assert.Assert(t, reports <= 1)
		})
	}
}
