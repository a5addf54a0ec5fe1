package loadbalance

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestModelNamesAreBounded guards against memory that grows with the names of models that callers
// make up, and against the loss of the times of all requests.
func TestModelNamesAreBounded(t *testing.T) {
	b := NewBalancer()
	server := fleet.Entry{Server: fleet.Server{ID: "server-1", Pool: "app"}}
	for i := range 10 * maxModels {
		for _, model := range []string{fmt.Sprint("model-", i), strings.Repeat("x", maxModelBytes) + fmt.Sprint(i)} {
			b.RecordRunTime("app", model, 20)
			b.RecordFirstByte(&Choice{Server: server}, model, 10, 1000)
			b.RecordInterEvent(&server, model, 5, 1000)
		}
	}
	assert.Assert(t, len(b.models) <= maxModels && len(b.decode) <= maxModels && len(b.modelNames) <= maxModels)
	assert.Assert(t, len(b.runTimes) <= maxModels+1, "%d", len(b.runTimes))
	assert.Equal(t, b.RunTime("app", ""), clock.Millis(20))
}
