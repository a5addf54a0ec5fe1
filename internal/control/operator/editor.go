// Package operator serves operators: edits of the tables, acts and status.
package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/control/eventloop"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/platform/objectstore"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// EditsTable holds the version that each edit id made.
const EditsTable = "edits"

// AnyVersion lets an edit apply to whatever version is current.
const AnyVersion int64 = -1

const (
	commitTries  = 6
	acceptPoll   = 20 * time.Millisecond
	acceptFactor = 2 // of the confirm window
)

// Change makes the next document from the current one.
type Change func(before *tables.Document) (*tables.Document, error)

// Editor commits edits. It is safe for concurrent use.
type Editor struct {
	common  *common.Common
	table   tableservice.Service
	objects *objectstore.Client
	loop    *eventloop.Loop
}

// NewEditor returns an editor.
func NewEditor(c *common.Common, table tableservice.Service, objects *objectstore.Client, l *eventloop.Loop) *Editor {
	return &Editor{common: c, table: table, objects: objects, loop: l}
}

// Current returns the document as the table service has it; its version is 0
// before the first edit.
func (e *Editor) Current(ctx context.Context) (*tables.Document, error) {
	doc, _, err := e.read(ctx)
	return doc, err
}

// Edit commits the change under the edit id and waits until a majority of the
// daemons has adopted it. Sending an edit id again never applies it twice.
// Errors are *result.Error.
func (e *Editor) Edit(ctx context.Context, editID string, base int64, change Change) (*tables.Document, error) {
	for range commitTries {
		before, rowVersion, err := e.read(ctx)
		if err != nil {
			return nil, err
		}
		if made, ok := e.earlier(ctx, editID); ok {
			return e.settled(ctx, before, made)
		}
		after, err := e.prepare(ctx, editID, base, before, change)
		if err != nil {
			return nil, err
		}
		committed, err := e.commit(ctx, after, rowVersion)
		if err != nil {
			return nil, err
		}
		if committed {
			e.archive(ctx, after)
			return after, e.awaitAccepted(ctx, before, after)
		}
	}
	return nil, result.New(result.EditUnknown, "edit %s: the table service didn't settle after %d tries", editID, commitTries)
}

func (e *Editor) read(ctx context.Context) (*tables.Document, int64, error) {
	row, err := e.table.Get(ctx, eventloop.ConfigTable, eventloop.DocumentKey)
	if errors.Is(err, tableservice.ErrNotFound) {
		return &tables.Document{}, 0, nil
	}
	if err != nil {
		return nil, 0, result.Wrap(err, result.StoreUnavailable)
	}
	doc := &tables.Document{}
	if err := json.Unmarshal(row.Value, doc); err != nil {
		return nil, 0, errors.Wrap(err, "decode document")
	}
	return doc, row.Version, nil
}

// earlier returns the version that the edit id has made, if any.
func (e *Editor) earlier(ctx context.Context, editID string) (int64, bool) {
	row, err := e.table.Get(ctx, EditsTable, editID)
	var made eventloop.VersionRow
	if err != nil || json.Unmarshal(row.Value, &made) != nil {
		return 0, false
	}
	return made.Version, true
}

// settled answers for an edit that was committed earlier.
func (e *Editor) settled(ctx context.Context, current *tables.Document, made int64) (*tables.Document, error) {
	e.loop.Send(ctx, controlstate.DocumentReceived{Document: current})
	after := *current
	if made == current.Version {
		return &after, e.awaitAccepted(ctx, nil, &after)
	}
	return &after, nil
}

func (e *Editor) prepare(ctx context.Context, editID string, base int64, before *tables.Document, change Change) (*tables.Document, error) {
	if base != AnyVersion && base != before.Version {
		return nil, result.New(result.EditConflict, "the edit is based on version %d, the current version is %d", base, before.Version)
	}
	after, err := change(before)
	if err != nil {
		return nil, result.Wrap(err, result.EditInvalid)
	}
	problems := append(after.Validate(), tables.ValidateTransition(before, after)...)
	if len(problems) > 0 {
		return nil, result.Wrap(problems, result.EditInvalid)
	}
	if err := e.checkMembers(ctx, before, after); err != nil {
		return nil, err
	}
	return after.WithEdit(before, editID), nil
}

// checkMembers lets the list of hosts change only on top of an accepted
// version, so that the majorities of neighbouring versions overlap.
func (e *Editor) checkMembers(ctx context.Context, before, after *tables.Document) error {
	if before.Version == 0 || !membersDiffer(before, after) {
		return nil
	}
	accepted := false
	err := e.loop.Do(ctx, func(c *controlstate.Machine) {
		accepted = c.Version() >= before.Version && c.MajorityAdopted(before, before.Version, e.common.Clock.Now())
	})
	if err != nil {
		return err
	}
	if !accepted {
		return result.New(result.EditConflict, "hosts: version %d is not yet adopted by a majority; try again", before.Version)
	}
	return nil
}

func membersDiffer(before, after *tables.Document) bool {
	if len(before.Hosts) != len(after.Hosts) {
		return true
	}
	for name := range before.Hosts {
		if _, ok := after.Hosts[name]; !ok {
			return true
		}
	}
	return false
}

// commit writes the document, its version and the edit id in one transaction.
// false means that it must be tried again from the start: another edit came
// first, or the answer was lost, which the edit's own row settles.
func (e *Editor) commit(ctx context.Context, after *tables.Document, rowVersion int64) (bool, error) {
	condition := tableservice.IfVersion
	if rowVersion == 0 {
		condition = tableservice.IfAbsent
	}
	version := eventloop.VersionRow{Version: after.Version}
	var batch tableservice.Batch
	batch.Atomic = true
	rows := []struct {
		table, key string
		value      any
		condition  tableservice.Condition
		version    int64
	}{
		{eventloop.ConfigTable, eventloop.DocumentKey, after, condition, rowVersion},
		{eventloop.ConfigTable, eventloop.VersionKey, version, condition, rowVersion},
		{EditsTable, after.EditID, version, tableservice.IfAbsent, 0},
	}
	for _, r := range rows {
		w, err := tableservice.NewWrite(r.table, r.key, r.value, r.condition, r.version)
		if err != nil {
			return false, err
		}
		batch.Writes = append(batch.Writes, w)
	}
	applied, err := e.table.Commit(ctx, batch)
	if errors.Is(err, tableservice.ErrOutcomeUnknown) {
		return false, nil
	}
	if err != nil {
		return false, result.Wrap(err, result.StoreUnavailable)
	}
	return applied[0].Applied, nil
}

func (e *Editor) archive(ctx context.Context, doc *tables.Document) {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err == nil {
		err = e.objects.Put(ctx, ArchiveName(doc.Version), text)
	}
	if err != nil {
		e.common.Log.Warn("the document is in force but not in the archive", "version", doc.Version, "error", err)
	}
}

func (e *Editor) awaitAccepted(ctx context.Context, before, after *tables.Document) error {
	e.loop.Send(ctx, controlstate.DocumentReceived{Document: after})
	until := e.common.Clock.Now() + acceptFactor*clock.Millis(e.common.Settings.Control.ConfirmWindowMs)
	for e.common.Clock.Now() < until && ctx.Err() == nil {
		accepted := false
		err := e.loop.Do(ctx, func(c *controlstate.Machine) {
			accepted = c.MajorityAdopted(before, after.Version, e.common.Clock.Now())
		})
		if err != nil {
			break
		}
		if accepted {
			e.common.Log.Info("edit accepted", "edit_id", after.EditID, "version", after.Version)
			return nil
		}
		time.Sleep(acceptPoll)
	}
	return result.New(result.EditPending, "version %d is committed, but no majority has adopted it yet", after.Version)
}
