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

	"gypsumpitch.example/gypsumpitch/internal/control/keeper"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// Table is the name of the daemons' own table.
const Table = "gypsumpitch"

// Keys of the rows.
const (
	hostKeys  = "host/"
	beganKeys = "rollout/"
)

// hostRow says where a daemon listens for others.
type hostRow struct {
	Address string `json:"address"`
}

// beganRow says when a roll-out began, by the store's clock.
type beganRow struct {
	Order   int64 `json:"order"`
	BeganMs int64 `json:"began_ms"`
}

// Sink takes in the daemons' own rows. It implements follower.Sink.
type Sink struct {
	ctx    context.Context
	log    hclog.Logger
	keeper *keeper.Keeper
}

// NewSink returns a sink that writes to the keeper until the context ends.
func NewSink(ctx context.Context, log hclog.Logger, k *keeper.Keeper) *Sink {
	return &Sink{ctx: ctx, log: log, keeper: k}
}

// Touch takes in whether the table is being followed.
func (s *Sink) Touch(table string, well bool) {
	s.keeper.Apply(s.ctx, func(state *keeper.State) { state.SetStore(table, well) })
}

// Replace takes in the whole table.
func (s *Sink) Replace(_ string, page rowstore.Page) {
	s.keeper.Apply(s.ctx, func(state *keeper.State) {
		state.NoteStoreTime(page.Now)
		state.DropHosts()
		s.apply(state, page.Rows)
		state.SetFollowed(Table)
	})
}

// Change takes in changed rows.
func (s *Sink) Change(_ string, page rowstore.Page) {
	s.keeper.Apply(s.ctx, func(state *keeper.State) {
		state.NoteStoreTime(page.Now)
		s.apply(state, page.Rows)
	})
}

func (s *Sink) apply(state *keeper.State, rows []rowstore.Row) {
	for _, row := range rows {
		if err := applyRow(state, row); err != nil {
			s.log.Warn("row ignored", "table", Table, "key", row.Key, "row_version", row.Version, "error", err.Error())
		}
	}
}

func applyRow(state *keeper.State, row rowstore.Row) error {
	if name, ok := strings.CutPrefix(row.Key, hostKeys); ok {
		if row.Deleted {
			state.SetHost(name, "")
			return nil
		}
		var host hostRow
		if err := json.Unmarshal(row.Value, &host); err != nil {
			return errors.WithStack(err)
		}
		state.SetHost(name, host.Address)
		return nil
	}
	if pool, ok := strings.CutPrefix(row.Key, beganKeys); ok && !row.Deleted {
		var began beganRow
		if err := json.Unmarshal(row.Value, &began); err != nil {
			return errors.WithStack(err)
		}
		state.SetBegan(pool, began.Order, clock.Millis(began.BeganMs))
	}
	return nil
}

// BeganWrite returns the write that records when a roll-out began.
func BeganWrite(pool string, order int64, began clock.Millis) (rowstore.Write, error) {
	value, err := json.Marshal(beganRow{Order: order, BeganMs: int64(began)})
	return rowstore.Write{Table: Table, Key: beganKeys + pool, Value: value, Always: true}, errors.WithStack(err)
}

const (
	// writeLimit bounds one call to the store.
	writeLimit = 1 * time.Second
	// firstPause after a failed call doubles up to longestPause.
	firstPause   = 200 * time.Millisecond
	longestPause = 3 * time.Second
)

// Announce writes where this daemon listens, unless the store has it already. It
// tries until that has succeeded or the context ends.
func Announce(ctx context.Context, log hclog.Logger, k *keeper.Keeper, store rowstore.Store, host, address string) {
	value, err := json.Marshal(hostRow{Address: address})
	if err != nil {
		log.Error("host isn't announced", "error", err.Error())
		return
	}
	for pause := firstPause; ; pause = min(pause*2, longestPause) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		view := k.View()
		if !view.Followed[Table] {
			continue
		}
		if view.Hosts[host] == address {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, writeLimit)
		version, err := store.Commit(callCtx, rowstore.Write{Table: Table, Key: hostKeys + host, Value: value, Always: true})
		cancel()
		if err == nil {
			log.Info("host announced", "address", address, "row_version", strconv.FormatInt(version, 10))
			return
		}
		log.Warn("host isn't announced", "address", address, "error", err.Error())
	}
}
