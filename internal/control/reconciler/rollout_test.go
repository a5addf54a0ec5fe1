package reconciler

import (
	"bytes"
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// fakeEditor answers all edits with err.
type fakeEditor struct{ err error }

func (e fakeEditor) Edit(context.Context, string, int64, operator.Change) (*tables.Document, error) {
	return nil, e.err
}

// TestEditOutcomeIsLogged checks that the log tells an automatic edit that was committed
// from one that failed.
func TestEditOutcomeIsLogged(t *testing.T) {
	model := tables.Model{Versions: map[string]tables.ModelVersion{
		"v1": {State: tables.Active, Share: 99}, "v2": {State: tables.Canary, Share: 1},
	}}
	withdraw := func(r *Reconciler) {
		r.withdraw(t.Context(), &tables.Document{Models: map[string]tables.Model{"small": model}}, "small@v2")
	}
	raise := func(r *Reconciler) { r.raiseCanaryShares(t.Context(), "small", model) }
	cases := map[string]struct {
		edit func(r *Reconciler)
		err  error
		want string
	}{
		"withdrawn":           {withdraw, nil, "[WARN]  withdrew tripped model version: version=small@v2\n"},
		"withdrawal failed":   {withdraw, errors.New("conflict"), "[WARN]  failed to withdraw tripped model version: version=small@v2 error=conflict\n"},
		"share raised":        {raise, nil, "[INFO]  raised share of canary: version=small@v2 share=2\n"},
		"share wasn't raised": {raise, errors.New("conflict"), "[WARN]  failed to raise share of canary: version=small@v2 share=2 error=conflict\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			log := hclog.New(&hclog.LoggerOptions{Output: &output, DisableTime: true})
			shared := &common.Common{Log: log, Clock: clock.NewManual(1)}
			tracker := quality.NewTracker(shared, nil)
			tracker.SetPeerCounts("entry-2", nil, []controlstate.VersionCount{{Name: "small@v2", Good: 1_000}})
			c.edit(&Reconciler{common: shared, editor: fakeEditor{c.err}, quality: tracker})
			assert.Equal(t, output.String(), c.want)
		})
	}
}
