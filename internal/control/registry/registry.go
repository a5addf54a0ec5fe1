// Package registry keeps the daemons' own rows in the store: where each daemon
// listens, and when each roll-out began.
package registry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// Table is the name of the daemons' own table.
const Table = "gypsumpitch"

// Keys of the rows.
const (
	hostKeys    = "host/"
	rolloutKeys = "rollout/"
)

// hostRow says where a daemon listens for others.
type hostRow struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	LinkMbps   int    `json:"link_mbps"`
}

// rolloutRow is the stage of a roll-out, and when it began by the store's clock.
type rolloutRow struct {
	Order   int64  `json:"order"`
	BeganMs int64  `json:"began_ms"`
	Stage   string `json:"stage"`
}

// Sink takes in the daemons' own rows. It implements follower.Sink.
type Sink struct {
	ctx    context.Context
	log    hclog.Logger
	keeper *viewstate.Manager
}

// NewSink returns a sink that writes to the manager until the context ends.
func NewSink(ctx context.Context, log hclog.Logger, k *viewstate.Manager) *Sink {
	return &Sink{ctx: ctx, log: log, keeper: k}
}

// SetAvailable takes in whether the table is being followed.
func (s *Sink) SetAvailable(table string, well bool) {
	s.keeper.Apply(s.ctx, func(state *viewstate.State) { state.SetStoreAvailable(table, well) })
}

// Replace takes in the whole table.
func (s *Sink) Replace(_ string, page rowstore.Page) {
	s.keeper.Apply(s.ctx, func(state *viewstate.State) {
		state.ObserveStoreTime(page.Now)
		state.RemoveHosts()
		s.apply(state, page.Rows)
		state.SetTableLoaded(Table)
	})
}

// Update takes in changed rows.
func (s *Sink) Update(_ string, page rowstore.Page) {
	s.keeper.Apply(s.ctx, func(state *viewstate.State) {
		state.ObserveStoreTime(page.Now)
		s.apply(state, page.Rows)
	})
}

func (s *Sink) apply(state *viewstate.State, rows []rowstore.Row) {
	for _, row := range rows {
		if err := applyRow(state, row); err != nil {
			s.log.Warn("row ignored", "table", Table, "key", row.Key, "row_version", row.Version, "error", err.Error())
		}
	}
}

func applyRow(state *viewstate.State, row rowstore.Row) error {
	if name, ok := strings.CutPrefix(row.Key, hostKeys); ok {
		if row.Deleted {
			state.SetHost(name, fleet.Host{})
			return nil
		}
		var host hostRow
		if err := json.Unmarshal(row.Value, &host); err != nil {
			return errors.WithStack(err)
		}
		state.SetHost(name, fleet.Host(host))
		return nil
	}
	if pool, ok := strings.CutPrefix(row.Key, rolloutKeys); ok && !row.Deleted {
		var recorded rolloutRow
		if err := json.Unmarshal(row.Value, &recorded); err != nil {
			return errors.WithStack(err)
		}
		stage, ok := fleet.ParseStage(recorded.Stage)
		if !ok {
			return errors.Errorf("unknown stage %q", recorded.Stage)
		}
		state.SetRolloutRecord(pool, fleet.RolloutRecord{
			OrderVersion: recorded.Order, StartedAt: clock.Millis(recorded.BeganMs), Stage: stage, RowVersion: row.Version,
		})
	}
	return nil
}

// RolloutWrite returns the write that records a stage, under the condition that
// no other was recorded meanwhile. Began is by the store's clock.
func RolloutWrite(r fleet.Rollout, to fleet.Stage, began clock.Millis) (rowstore.Write, error) {
	value, err := json.Marshal(rolloutRow{Order: r.OrderVersion, BeganMs: int64(began), Stage: to.String()})
	return rowstore.Write{Table: Table, Key: rolloutKeys + r.Pool, Value: value, Expected: r.RecordVersion}, errors.WithStack(err)
}

const (
	// writeLimit bounds one call to the store.
	writeLimit = 1 * time.Second
	// firstPause after a failed call doubles up to longestPause.
	firstPause   = 200 * clock.Millis(1)
	longestPause = 3_000 * clock.Millis(1)
)

// Announce writes where this daemon listens, unless the store has it already. It
// tries until that has succeeded or the context ends.
func Announce(ctx context.Context, log hclog.Logger, k *viewstate.Manager, store rowstore.Store, name string, host fleet.Host) {
	value, err := json.Marshal(hostRow(host))
	if err != nil {
		log.Error("host isn't announced", "error", err.Error())
		return
	}
	for pause := firstPause; ; pause = min(pause*2, longestPause) {
		if clock.Sleep(ctx, pause); ctx.Err() != nil {
			return
		}
		view := k.View()
		if !view.LoadedTables[Table] {
			continue
		}
		if view.Hosts[name] == host {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, writeLimit)
		version, err := store.Commit(callCtx, rowstore.Write{Table: Table, Key: hostKeys + name, Value: value, Always: true})
		cancel()
		if err == nil {
			log.Info("host announced", "address", host.Address, "row_version", strconv.FormatInt(version, 10))
			return
		}
		log.Warn("host isn't announced", "address", host.Address, "error", err.Error())
	}
}
