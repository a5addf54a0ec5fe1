package reconciler

import (
	"context"
	"fmt"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// work does one round of what the lease is for.
func (d *Reconciler) work(ctx context.Context) {
	snapshot := d.loop.Snapshot()
	if !snapshot.Confirmed(d.common.Clock.Now()) {
		return
	}
	for name, holds := range snapshot.Tripped {
		if holds {
			d.withdraw(ctx, snapshot.Document, name)
		}
	}
	for model, m := range snapshot.Document.Models {
		d.widen(ctx, model, m)
	}
	d.orders.Sync(ctx, snapshot, d.mayOrder)
}

// withdraw closes a bad version everywhere. It is withdrawn only while another
// version can take its place.
func (d *Reconciler) withdraw(ctx context.Context, doc *tables.Document, name string) {
	model, version := tables.SplitVersion(name)
	row := doc.Models[model].Versions[version]
	if row.State == tables.Withdrawn || !hasOther(doc.Models[model], version) {
		return
	}
	act := tables.Action{Kind: tables.ActionVersionWithdraw, Name: model, Part: version}
	editID := fmt.Sprintf("auto-withdraw-%s-%d", name, row.ChangedIn)
	_, err := d.editor.Edit(ctx, editID, operator.AnyVersion, act.Apply)
	d.common.Log.Warn("withdrew a version that proved bad", "version", name, "error", err)
}

func hasOther(m tables.Model, version string) bool {
	for name, row := range m.Versions {
		if name != version && (row.State == tables.Active || row.State == tables.Canary) {
			return true
		}
	}
	return false
}

// widen raises a canary's share by the evidence of all daemons.
func (d *Reconciler) widen(ctx context.Context, model string, m tables.Model) {
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
		share := rollout.NextShare(row.Share, active, d.quality.CanaryStats(name))
		if share == row.Share {
			continue
		}
		act := tables.Action{Kind: tables.ActionVersionShare, Name: model, Part: version, Share: share}
		editID := fmt.Sprintf("auto-widen-%s-%d", name, row.ChangedIn)
		_, err := d.editor.Edit(ctx, editID, operator.AnyVersion, act.Apply)
		d.common.Log.Info("widened a canary", "version", name, "share", share, "error", err)
	}
}

// mayOrderFunc tells the fencing number and whether an order may go out now.
type mayOrderFunc func(life clock.Millis, checksFencing bool) (int64, bool)
