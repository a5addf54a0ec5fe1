// Package registry reads and writes the daemons' own table in the row store: the
// address of each daemon, and the stage and start time of each roll-out.
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

// Table is the name of the daemons' own table in the row store.
const Table = "gypsumpitch"

// Prefixes of the row keys, followed by the name of the host or pool.
const (
	hostKeyPrefix    = "host/"
	rolloutKeyPrefix = "rollout/"
)

// hostRow is the row of a host that runs a daemon; Address is its peer address.
type hostRow struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	LinkMbps   int    `json:"link_mbps"`
}

// rolloutRow is the record of a pool's roll-out. The start time is in milliseconds of
// the store's clock.
type rolloutRow struct {
	OrderVersion int64  `json:"order"`
	StartedAtMs  int64  `json:"began_ms"`
	Stage        string `json:"stage"`
}

// Sink applies the daemons' own table to a view state. It implements follower.Sink.
type Sink struct {
	ctx     context.Context
	log     hclog.Logger
	manager *viewstate.Manager
}

// NewSink returns a sink that applies changes to the manager until ctx is done.
func NewSink(ctx context.Context, log hclog.Logger, m *viewstate.Manager) *Sink {
	return &Sink{ctx: ctx, log: log, manager: m}
}

// SetAvailable implements follower.Sink.
func (s *Sink) SetAvailable(table string, available bool) {
	s.manager.Apply(s.ctx, func(state *viewstate.State) { state.SetStoreAvailable(table, available) })
}

// Replace implements follower.Sink. Roll-outs that are missing from the page keep
// their last record.
func (s *Sink) Replace(_ string, page rowstore.Page) {
	s.manager.Apply(s.ctx, func(state *viewstate.State) {
		state.ObserveStoreTime(page.StoreTime)
		state.RemoveHosts()
		s.apply(state, page.Rows)
		state.SetTableLoaded(Table)
	})
}

// Update implements follower.Sink.
func (s *Sink) Update(_ string, page rowstore.Page) {
	s.manager.Apply(s.ctx, func(state *viewstate.State) {
		state.ObserveStoreTime(page.StoreTime)
		s.apply(state, page.Rows)
	})
}

func (s *Sink) apply(state *viewstate.State, rows []rowstore.Row) {
	for _, row := range rows {
		if err := applyRow(state, row); err != nil {
			s.log.Warn("invalid row ignored", "table", Table, "key", row.Key, "row_version", row.Version, "error", err.Error())
		}
	}
}

func applyRow(state *viewstate.State, row rowstore.Row) error {
	if name, ok := strings.CutPrefix(row.Key, hostKeyPrefix); ok {
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
	if pool, ok := strings.CutPrefix(row.Key, rolloutKeyPrefix); ok && !row.Deleted {
		var record rolloutRow
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return errors.WithStack(err)
		}
		stage, ok := fleet.ParseStage(record.Stage)
		if !ok {
			return errors.Errorf("unknown roll-out stage %q", record.Stage)
		}
		state.SetRolloutRecord(pool, fleet.RolloutRecord{
			OrderVersion: record.OrderVersion, StartedAt: clock.Millis(record.StartedAtMs), Stage: stage, RowVersion: row.Version,
		})
	}
	return nil
}

// RolloutWrite returns the write that records a stage of the roll-out. The write
// conflicts if the record has changed since r was read. startedAt is a time of the
// store's clock.
func RolloutWrite(r fleet.Rollout, to fleet.Stage, startedAt clock.Millis) (rowstore.Write, error) {
	value, err := json.Marshal(rolloutRow{OrderVersion: r.OrderVersion, StartedAtMs: int64(startedAt), Stage: to.String()})
	return rowstore.Write{Table: Table, Key: rolloutKeyPrefix + r.Pool, Value: value, ExpectedVersion: r.RecordVersion}, errors.WithStack(err)
}

const (
	// writeTimeout bounds one call to the store.
	writeTimeout = 1 * time.Second
	// The delay before each attempt doubles from the minimum to the maximum.
	minRetryDelay = 200 * clock.Millis(1)
	maxRetryDelay = 3_000 * clock.Millis(1)
)

// Announce writes the row of this daemon's host unless the store already holds it. It
// retries until that succeeds or ctx is done.
func Announce(ctx context.Context, log hclog.Logger, m *viewstate.Manager, store rowstore.Store, name string, host fleet.Host) {
	value, err := json.Marshal(hostRow(host))
	if err != nil {
		log.Error("failed to announce host", "error", err.Error())
		return
	}
	for delay := minRetryDelay; ; delay = min(delay*2, maxRetryDelay) {
		if clock.Sleep(ctx, delay); ctx.Err() != nil {
			return
		}
		view := m.View()
		if !view.LoadedTables[Table] {
			continue
		}
		if view.Hosts[name] == host {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		position, err := store.Commit(callCtx, rowstore.Write{Table: Table, Key: hostKeyPrefix + name, Value: value, Unconditional: true})
		cancel()
		if err == nil {
			log.Info("host announced", "address", host.Address, "row_version", strconv.FormatInt(position.Version, 10))
			return
		}
		log.Warn("failed to announce host", "address", host.Address, "error", err.Error())
	}
}
