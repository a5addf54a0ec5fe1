// Package registry reads and writes the daemons' own table in the row store: the
// address of each daemon, the stage and start time of each roll-out, and the prompt segments
// that are quarantined.
package registry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// tokenKeyPrefix is followed by the pool, a slash and a token that is never used
	// again. The row is written with the pool's record. If the store loses the record, it
	// loses this row as well, and a write that expects it conflicts even if the version of
	// the record is given out again.
	tokenKeyPrefix = "token/"
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
	OrderEpoch   int64  `json:"order_epoch"`
	StartedAtMs  int64  `json:"began_ms"`
	Stage        string `json:"stage"`
	Target       string `json:"target"`
	Token        string `json:"token"` // names the token row of the same write
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
		state.StartRecordEpoch(page.Epoch, rowstore.Suffixes(page.Rows, rolloutKeyPrefix))
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
		if row.Superseded {
			state.LoseHost(name)
			return nil
		}
		if row.Deleted {
			state.SetHost(name, fleet.Host{})
			return nil
		}
		var host hostRow
		if err := json.Unmarshal(row.Value, &host); err != nil {
			return errors.WithStack(err)
		}
		state.SetHost(name, fleet.Host{Address: host.Address, DataCentre: host.DataCentre, LinkMbps: host.LinkMbps})
		return nil
	}
	if pool, ok := strings.CutPrefix(row.Key, rolloutKeyPrefix); ok {
		return applyRolloutRow(state, pool, row)
	}
	if segment, ok := strings.CutPrefix(row.Key, quarantineKeyPrefix); ok {
		return applyQuarantineRow(state, segment, row)
	}
	return nil
}

// applyRolloutRow applies the record of a pool's roll-out. The removal of a record is
// ignored unless the store lost it.
func applyRolloutRow(state *viewstate.State, pool string, row rowstore.Row) error {
	if row.Deleted {
		if row.Superseded {
			state.LoseRolloutRecord(pool, fleet.RolloutRecord{RowEpoch: row.Epoch})
		}
		return nil
	}
	var record rolloutRow
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return errors.WithStack(err)
	}
	stage, ok := fleet.ParseStage(record.Stage)
	if !ok {
		return errors.Errorf("unknown roll-out stage %q", record.Stage)
	}
	decoded := fleet.RolloutRecord{
		OrderVersion: record.OrderVersion, OrderEpoch: record.OrderEpoch, Target: record.Target,
		StartedAt: clock.Millis(record.StartedAtMs), Stage: stage, RowVersion: row.Version, RowEpoch: row.Epoch, Token: record.Token,
	}
	if row.Superseded {
		state.LoseRolloutRecord(pool, decoded)
	} else {
		state.SetRolloutRecord(pool, decoded)
	}
	return nil
}

// RolloutWrites returns the writes that record a stage of the roll-out under the token,
// which must not have been used before. The writes conflict if the record has changed
// since r was read. startedAt is a time of the store's clock.
func RolloutWrites(r fleet.Rollout, to fleet.Stage, startedAt clock.Millis, token string) ([]rowstore.Write, error) {
	value, err := json.Marshal(rolloutRow{
		OrderVersion: r.OrderVersion, OrderEpoch: r.OrderEpoch, StartedAtMs: int64(startedAt), Stage: to.String(),
		Target: r.Target, Token: token,
	})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tokenKey := func(token string) string { return tokenKeyPrefix + r.Pool + "/" + token }
	writes := []rowstore.Write{
		{Table: Table, Key: rolloutKeyPrefix + r.Pool, Value: value, ExpectedVersion: r.RecordVersion, ExpectedEpoch: r.RecordEpoch},
		{Table: Table, Key: tokenKey(token), Value: []byte("{}")},
	}
	if r.RecordVersion != 0 && r.RecordToken != "" {
		writes = append(writes, rowstore.Write{
			Table: Table, Key: tokenKey(r.RecordToken), ExpectedVersion: r.RecordVersion, ExpectedEpoch: r.RecordEpoch, Remove: true,
		})
	}
	return writes, nil
}

const (
	// writeTimeout bounds one call to the store.
	writeTimeout = 1 * time.Second
	// The delay before each attempt doubles from the minimum to the maximum.
	minRetryDelay = 200 * clock.Millis(1)
	maxRetryDelay = 3_000 * clock.Millis(1)
	// The mean delay before it is checked again whether the store holds the row. It doubles
	// with each write that has not become visible.
	minCheckDelay = 2_000 * clock.Millis(1)
	maxCheckDelay = 30_000 * clock.Millis(1)
)

// Announce writes the row of this daemon's host whenever the store does not hold it, until
// ctx is done.
func Announce(ctx context.Context, log hclog.Logger, m *viewstate.Manager, store rowstore.Store, name string, host fleet.Host) {
	value, err := json.Marshal(hostRow{Address: host.Address, DataCentre: host.DataCentre, LinkMbps: host.LinkMbps})
	if err != nil {
		log.Error("failed to announce host", "error", err.Error())
		return
	}
	delay, checkDelay := minRetryDelay, minCheckDelay
	for ctx.Err() == nil {
		clock.Sleep(ctx, delay)
		view := m.View()
		if !view.LoadedTables[Table] {
			delay = min(delay*2, maxRetryDelay)
			continue
		}
		if view.Hosts[name] == host {
			// All daemons lose their rows at the same time if the store returns from a copy.
			checkDelay = minCheckDelay
			delay = checkDelay/2 + rand.N(checkDelay)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		position, err := store.Commit(callCtx, rowstore.Write{Table: Table, Key: hostKeyPrefix + name, Value: value, Unconditional: true})
		cancel()
		if err == nil {
			log.Info("host announced", "address", host.Address, "row_version", strconv.FormatInt(position.Version, 10))
			delay = checkDelay/2 + rand.N(checkDelay)
			checkDelay = min(checkDelay*2, maxCheckDelay)
			continue
		}
		delay = min(delay*2, maxRetryDelay)
		log.Warn("failed to announce host", "address", host.Address, "error", err.Error())
	}
}
