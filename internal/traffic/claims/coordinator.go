// Package claims executes non-idempotent calls at most once. Each call is claimed in the
// table service before it is sent.
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

// Table is the table of claims. Its key consists of the client account and the
// idempotency key.
const Table = "claims"

const (
	maxObserved = 100_000 // claims of other daemons
	// outcomeMargin is added to the maximum duration of a call before a claim without an
	// outcome is marked as unknown.
	outcomeMargin = 5_000 * clock.Millis(1)
)

// SendFunc sends the call once. The outcome is Ran, NotRun or MayHaveRun.
type SendFunc func(ctx context.Context) (claim.Outcome, *claim.Answer)

// Coordinator executes non-idempotent calls of this daemon. Safe for concurrent use.
type Coordinator struct {
	common       *common.Common
	tableService tableservice.Service
	snapshot     func() *controlstate.Snapshot
	observed     *container.LRU[string, observation]
	backlog      *Backlog
}

// observation records when this daemon first found a call of another daemon in progress.
type observation struct {
	claimID         string
	firstObservedAt clock.Millis
}

// NewCoordinator returns a coordinator that writes outcomes through the backlog.
func NewCoordinator(c *common.Common, tableService tableservice.Service, snapshot func() *controlstate.Snapshot, backlog *Backlog) *Coordinator {
	return &Coordinator{common: c, tableService: tableService, snapshot: snapshot, observed: container.NewLRU[string, observation](maxObserved), backlog: backlog}
}

// Execute claims the call and sends it at most once. It returns the outcome and, if it is
// Ran or Replayed, the answer. The outcome is written to the table service asynchronously.
func (c *Coordinator) Execute(ctx context.Context, key string, row claim.Row, send SendFunc) (claim.Outcome, *claim.Answer) {
	m := claim.NewMachine(row)
	var answer *claim.Answer
	for step := m.Start(); step != claim.Finish; {
		switch step {
		case claim.Insert, claim.Takeover:
			step = c.write(ctx, key, m, step)
		case claim.ReadBack:
			step = c.readBack(ctx, key, m)
		case claim.Send:
			var outcome claim.Outcome
			outcome, answer = send(ctx)
			step = m.SendDone(outcome)
			c.recordOutcome(key, m, answer)
		}
	}
	switch m.Outcome() {
	case claim.Replayed:
		return claim.Replayed, m.Found().Answer
	case claim.InProgress:
		return c.resolveInProgress(ctx, key, m), nil
	case claim.NotRun:
		c.release(key, m)
	}
	return m.Outcome(), answer
}

// write performs Insert or Takeover and returns the machine's next step.
func (c *Coordinator) write(ctx context.Context, key string, m *claim.Machine, step claim.Step) claim.Step {
	condition := tableservice.IfAbsent
	if step == claim.Takeover {
		condition = tableservice.IfVersion
	}
	w, err := tableservice.NewWrite(Table, key, m.Row(), condition, m.Version())
	if err != nil {
		return m.WriteUnavailable()
	}
	applied, err := c.tableService.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
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

func (c *Coordinator) readBack(ctx context.Context, key string, m *claim.Machine) claim.Step {
	stored, err := c.tableService.Get(ctx, Table, key)
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

// recordOutcome queues the outcome of a call that was sent. The caller gets the answer
// without waiting for the write.
func (c *Coordinator) recordOutcome(key string, m *claim.Machine, answer *claim.Answer) {
	switch m.Outcome() {
	case claim.Ran:
		c.backlog.Add(key, m.Row().WithState(claim.Done, answer))
	case claim.MayHaveRun:
		c.backlog.Add(key, m.Row().WithState(claim.Unknown, nil))
	}
}

// release queues the release of the claim of a call that did not run. The claim may be in
// the table even if the answer to its write was lost.
func (c *Coordinator) release(key string, m *claim.Machine) {
	c.backlog.Add(key, m.Row().WithState(claim.Released, nil))
}

// resolveInProgress returns InProgress unless the claim is abandoned: the host of the
// claiming daemon runs a later incarnation, or the maximum duration of the call has passed
// since this daemon first observed the claim. The call may have run, so it is not sent
// again; its claim is marked as unknown.
func (c *Coordinator) resolveInProgress(ctx context.Context, key string, m *claim.Machine) claim.Outcome {
	found := m.Found()
	if !c.ownerRestarted(found) && !c.isOverdue(key, found) {
		return claim.InProgress
	}
	w, err := tableservice.NewWrite(Table, key, found.WithState(claim.Unknown, nil), tableservice.IfVersion, m.Version())
	if err != nil {
		return claim.InProgress
	}
	applied, err := c.tableService.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	if err != nil || !applied[0].Applied {
		return claim.InProgress
	}
	return claim.MayHaveRun
}

func (c *Coordinator) ownerRestarted(row claim.Row) bool {
	for _, member := range c.snapshot().Members {
		if member.Member == row.Member {
			return member.Incarnation > row.Incarnation
		}
	}
	return false
}

// isOverdue reports whether the call should have ended. Its maximum duration counts from this
// daemon's first check of the claim.
func (c *Coordinator) isOverdue(key string, row claim.Row) bool {
	now := c.common.Clock.Now()
	first, ok := c.observed.Get(key)
	if !ok || first.claimID != row.ClaimID {
		c.observed.Put(key, observation{row.ClaimID, now})
		return false
	}
	return now-first.firstObservedAt > clock.Millis(row.LimitMs)+outcomeMargin
}
