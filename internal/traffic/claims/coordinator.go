// Package claims carries non-idempotent calls through the table service, so
// that each runs at most once.
package claims

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/claim"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// Table is the table that holds the claims, by account and idempotency key.
const Table = "claims"

const (
	maxObserved = 100_000
	// settleMargin is added to a call's limit before a claim that its daemon
	// never settled is taken as unknown.
	settleMargin = 5_000 * clock.Millis(1)
)

// SendFunc sends the call once. Its verdict is Ran, NotRun or MayHaveRun.
type SendFunc func(ctx context.Context) (claim.Outcome, *claim.Answer)

// Coordinator is safe for concurrent use.
type Coordinator struct {
	common    *common.Common
	table     tableservice.Service
	snapshots func() *controlstate.Snapshot
	observed  *container.LRU[string, observation]
	backlog   *Backlog
}

// observation is when this daemon first saw a claim of another under way.
type observation struct {
	claimID string
	since   clock.Millis
}

// NewCoordinator returns a keeper whose unfinished writes wait in the backlog.
func NewCoordinator(c *common.Common, table tableservice.Service, snapshots func() *controlstate.Snapshot, backlog *Backlog) *Coordinator {
	return &Coordinator{common: c, table: table, snapshots: snapshots, observed: container.NewLRU[string, observation](maxObserved), backlog: backlog}
}

// Execute takes the call through its claim. It returns the verdict and, where the
// call ran now or before, its answer.
func (k *Coordinator) Execute(ctx context.Context, key string, mine claim.Row, send SendFunc) (claim.Outcome, *claim.Answer) {
	m := claim.NewMachine(mine)
	var answer *claim.Answer
	for step := m.Start(); step != claim.Finish; {
		switch step {
		case claim.Insert, claim.Takeover:
			step = k.write(ctx, key, m, step)
		case claim.ReadBack:
			step = k.readBack(ctx, key, m)
		case claim.Send:
			var verdict claim.Outcome
			verdict, answer = send(ctx)
			step = m.SendDone(verdict)
			k.record(key, m, answer)
		}
	}
	switch m.Outcome() {
	case claim.Replayed:
		return claim.Replayed, m.Found().Answer
	case claim.InProgress:
		return k.judgeProgress(ctx, key, m), nil
	case claim.NotRun:
		k.release(key, m)
	}
	return m.Outcome(), answer
}

func (k *Coordinator) write(ctx context.Context, key string, m *claim.Machine, step claim.Step) claim.Step {
	condition := tableservice.IfAbsent
	if step == claim.Takeover {
		condition = tableservice.IfVersion
	}
	w, err := tableservice.NewWrite(Table, key, m.Row(), condition, m.Version())
	if err != nil {
		return m.WriteUnavailable()
	}
	applied, err := k.table.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	switch {
	case errors.Is(err, tableservice.ErrOutcomeUnknown):
		return m.WriteUnknown()
	case err != nil:
		return m.WriteUnavailable()
	}
	row, err := decode(applied[0].Row)
	if err != nil {
		return m.WriteUnavailable()
	}
	return m.WriteDone(applied[0].Applied, row, applied[0].Row.Version)
}

func (k *Coordinator) readBack(ctx context.Context, key string, m *claim.Machine) claim.Step {
	stored, err := k.table.Get(ctx, Table, key)
	if errors.Is(err, tableservice.ErrNotFound) {
		return m.ReadAbsent()
	}
	if err != nil {
		return m.ReadUnavailable()
	}
	row, err := decode(stored)
	if err != nil {
		return m.ReadUnavailable()
	}
	return m.ReadDone(row, stored.Version)
}

func decode(stored tableservice.Row) (claim.Row, error) {
	var row claim.Row
	err := json.Unmarshal(stored.Value, &row)
	return row, errors.Wrap(err, "decode claim")
}

// record notes the outcome of a call that was sent. The caller has its answer
// either way.
func (k *Coordinator) record(key string, m *claim.Machine, answer *claim.Answer) {
	switch m.Outcome() {
	case claim.Ran:
		k.backlog.Add(key, m.Row().WithState(claim.Done, answer))
	case claim.MayHaveRun:
		k.backlog.Add(key, m.Row().WithState(claim.Unknown, nil))
	}
}

// release gives back the claim of a call that wasn't run, whose write may have
// taken effect although its answer was lost.
func (k *Coordinator) release(key string, m *claim.Machine) {
	k.backlog.Add(key, m.Row().WithState(claim.Released, nil))
}

// judgeProgress tells a call that is under way from one whose daemon is gone:
// the claimer's host runs a later incarnation, or the call's limit has passed
// since this daemon first saw the claim. Nobody else would send it, so the
// claim is only marked.
func (k *Coordinator) judgeProgress(ctx context.Context, key string, m *claim.Machine) claim.Outcome {
	found := m.Found()
	if !k.ownerGone(found) && !k.overdue(key, found) {
		return claim.InProgress
	}
	w, err := tableservice.NewWrite(Table, key, found.WithState(claim.Unknown, nil), tableservice.IfVersion, m.Version())
	if err != nil {
		return claim.InProgress
	}
	applied, err := k.table.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	if err != nil || !applied[0].Applied {
		return claim.InProgress
	}
	return claim.MayHaveRun
}

func (k *Coordinator) ownerGone(row claim.Row) bool {
	for _, s := range k.snapshots().Members {
		if s.Member == row.Member {
			return s.Incarnation > row.Incarnation
		}
	}
	return false
}

func (k *Coordinator) overdue(key string, row claim.Row) bool {
	now := k.common.Clock.Now()
	seen, ok := k.observed.Get(key)
	if !ok || seen.claimID != row.ClaimID {
		k.observed.Put(key, observation{row.ClaimID, now})
		return false
	}
	return now-seen.since > clock.Millis(row.LimitMs)+settleMargin
}
