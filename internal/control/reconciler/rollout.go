package reconciler

import (
	"context"
	"fmt"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// withdraw withdraws a model version that tripped, if another version of the model can
// receive new sessions.
func (r *Reconciler) withdraw(ctx context.Context, doc *tables.Document, name string) {
	model, version := tables.SplitVersion(name)
	row := doc.Models[model].Versions[version]
	if row.State == tables.Withdrawn || !hasReplacement(doc.Models[model], version) {
		return
	}
	action := tables.Action{Kind: tables.ActionVersionWithdraw, Name: model, Part: version}
	editID := fmt.Sprintf("auto-withdraw-%s-%d", name, row.ChangedIn)
	if _, err := r.editor.Edit(ctx, editID, operator.AnyVersion, action.Apply); err != nil {
		r.common.Log.Warn("failed to withdraw tripped model version", "version", name, "error", err.Error())
		return
	}
	r.common.Log.Warn("withdrew tripped model version", "version", name)
}

// hasReplacement reports whether another version of the model receives new sessions.
func hasReplacement(m tables.Model, version string) bool {
	for name, row := range m.Versions {
		if name != version && (row.State == tables.Active || row.State == tables.Canary) {
			return true
		}
	}
	return false
}

// raiseCanaryShares raises the shares of the model's canaries as far as their answers on
// all daemons allow.
func (r *Reconciler) raiseCanaryShares(ctx context.Context, model string, m tables.Model) {
	active := 0
	for _, row := range m.Versions {
		if row.State == tables.Active {
			active += row.Share
		}
	}
	for version, row := range m.Versions {
		if row.State != tables.Canary || row.Share == 0 {
			continue
		}
		name := tables.JoinVersion(model, version)
		share := rollout.NextShare(row.Share, active, r.quality.CanaryStats(name))
		if share == row.Share {
			continue
		}
		action := tables.Action{Kind: tables.ActionVersionShare, Name: model, Part: version, Share: share}
		editID := fmt.Sprintf("auto-widen-%s-%d", name, row.ChangedIn)
		if _, err := r.editor.Edit(ctx, editID, operator.AnyVersion, action.Apply); err != nil {
			r.common.Log.Warn("failed to raise share of canary", "version", name, "share", share, "error", err.Error())
			continue
		}
		r.common.Log.Info("raised share of canary", "version", name, "share", share)
	}
}
