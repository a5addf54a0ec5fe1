package loadfeatures

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a feature that applies although the deployment doesn't call for it.
func TestSharedCapacity(t *testing.T) {
	tests := map[string]struct {
		mode   string
		called bool
		want   bool
	}{
		"auto, called":     {"auto", true, true},
		"auto, not called": {"auto", false, false},
		"on, not called":   {"on", false, true},
		"off, called":      {"off", true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := Features{}.WithSharedCapacity(ParseMode(test.mode), test.called)
			assert.Equal(t, f.SharedCapacity, test.want)
		})
	}
}
