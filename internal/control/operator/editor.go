// Package operator implements the HTTP API for operators: edits of the tables, history,
// status and metrics.
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

// EditsTable is the table of committed edits. It maps the edit ID to the document version.
const EditsTable = "edits"

// AnyVersion as the base of an edit applies it to the current version.
const AnyVersion int64 = -1

const (
	maxCommitAttempts      = 6
	adoptionPollInterval   = 20 * time.Millisecond
	adoptionTimeoutWindows = 2 // in confirmation windows
)

// Change returns the edited document. It must not modify the current one and may be called
// several times.
type Change func(before *tables.Document) (*tables.Document, error)

// Editor commits edits of the document of tables. Safe for concurrent use.
type Editor struct {
	common       *common.Common
	tableService tableservice.Service
	objects      *objectstore.Client
	loop         *eventloop.Loop
}

// NewEditor returns an editor.
func NewEditor(c *common.Common, tableService tableservice.Service, objects *objectstore.Client, l *eventloop.Loop) *Editor {
	return &Editor{common: c, tableService: tableService, objects: objects, loop: l}
}

// Current returns the document in the table service. Its version is 0 before the first edit.
func (e *Editor) Current(ctx context.Context) (*tables.Document, error) {
	doc, _, err := e.readDocument(ctx)
	return doc, err
}

// Edit commits the change under the edit ID and waits until a majority of the daemons has
// adopted it. An edit ID is applied at most once, so a failed edit can be retried with the
// same ID. Refusals are *result.Error.
func (e *Editor) Edit(ctx context.Context, editID string, base int64, change Change) (*tables.Document, error) {
	for range maxCommitAttempts {
		before, rowVersion, err := e.readDocument(ctx)
		if err != nil {
			return nil, err
		}
		if version, ok := e.committedVersion(ctx, editID); ok {
			return e.resumeEdit(ctx, before, version)
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
			return after, e.awaitAdoption(ctx, before, after)
		}
	}
	return nil, result.New(result.EditUnknown, "edit %s: outcome still unknown after %d attempts to commit", editID, maxCommitAttempts)
}

// readDocument returns the document and the version of its row.
func (e *Editor) readDocument(ctx context.Context) (*tables.Document, int64, error) {
	row, err := e.tableService.Get(ctx, eventloop.ConfigTable, eventloop.DocumentKey)
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

// committedVersion returns the document version that the edit ID has committed, if any.
func (e *Editor) committedVersion(ctx context.Context, editID string) (int64, bool) {
	row, err := e.tableService.Get(ctx, EditsTable, editID)
	var committed eventloop.VersionRow
	if err != nil || json.Unmarshal(row.Value, &committed) != nil {
		return 0, false
	}
	return committed.Version, true
}

// resumeEdit completes an edit that was committed earlier as the given version. If that is
// still the current version, it waits for the adoption.
func (e *Editor) resumeEdit(ctx context.Context, current *tables.Document, version int64) (*tables.Document, error) {
	e.loop.Send(ctx, controlstate.DocumentReceived{Document: current})
	after := *current
	if version == current.Version {
		return &after, e.awaitAdoption(ctx, nil, &after)
	}
	return &after, nil
}

// prepare returns the validated document to commit.
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
	if err := e.checkHostChange(ctx, before, after); err != nil {
		return nil, err
	}
	return after.WithEdit(before, editID), nil
}

// checkHostChange refuses a change of the set of hosts until a majority has adopted the
// current version, so that the majorities of successive versions overlap.
func (e *Editor) checkHostChange(ctx context.Context, before, after *tables.Document) error {
	if before.Version == 0 || !hostsDiffer(before, after) {
		return nil
	}
	adopted := false
	err := e.loop.Do(ctx, func(m *controlstate.Machine) {
		adopted = m.Version() >= before.Version && m.MajorityAdopted(before, before.Version, e.common.Clock.Now())
	})
	if err != nil {
		return err
	}
	if !adopted {
		return result.New(result.EditConflict, "hosts: version %d is not yet adopted by a majority; try again", before.Version)
	}
	return nil
}

// hostsDiffer reports whether the documents have different sets of hosts.
func hostsDiffer(before, after *tables.Document) bool {
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

// commit writes the document, its version and the edit ID in one transaction. It returns
// false if Edit must start over: another edit was committed first, or the response was lost.
// In the latter case, the row in EditsTable shows whether the edit was committed.
func (e *Editor) commit(ctx context.Context, after *tables.Document, rowVersion int64) (bool, error) {
	condition := tableservice.IfVersion
	if rowVersion == 0 {
		condition = tableservice.IfAbsent
	}
	versionRow := eventloop.VersionRow{Version: after.Version}
	var batch tableservice.Batch
	batch.Atomic = true
	rows := []struct {
		table, key string
		value      any
		condition  tableservice.Condition
		version    int64
	}{
		{eventloop.ConfigTable, eventloop.DocumentKey, after, condition, rowVersion},
		{eventloop.ConfigTable, eventloop.VersionKey, versionRow, condition, rowVersion},
		{EditsTable, after.EditID, versionRow, tableservice.IfAbsent, 0},
	}
	for _, r := range rows {
		w, err := tableservice.NewWrite(r.table, r.key, r.value, r.condition, r.version)
		if err != nil {
			return false, err
		}
		batch.Writes = append(batch.Writes, w)
	}
	applied, err := e.tableService.Commit(ctx, batch)
	if errors.Is(err, tableservice.ErrOutcomeUnknown) {
		return false, nil
	}
	if err != nil {
		return false, result.Wrap(err, result.StoreUnavailable)
	}
	return applied[0].Applied, nil
}

// archive stores the document for History. A failure is only logged, since the edit is
// committed.
func (e *Editor) archive(ctx context.Context, doc *tables.Document) {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err == nil {
		err = e.objects.Put(ctx, ArchiveName(doc.Version), text)
	}
	if err != nil {
		e.common.Log.Warn("document committed but not archived", "version", doc.Version, "error", err)
	}
}

// awaitAdoption waits until a majority of the daemons has adopted the document. It returns
// EditPending if that does not happen in time.
func (e *Editor) awaitAdoption(ctx context.Context, before, after *tables.Document) error {
	e.loop.Send(ctx, controlstate.DocumentReceived{Document: after})
	deadline := e.common.Clock.Now() + adoptionTimeoutWindows*clock.Millis(e.common.Settings.Control.ConfirmWindowMs)
	for e.common.Clock.Now() < deadline && ctx.Err() == nil {
		adopted := false
		err := e.loop.Do(ctx, func(m *controlstate.Machine) {
			adopted = m.MajorityAdopted(before, after.Version, e.common.Clock.Now())
		})
		if err != nil {
			break
		}
		if adopted {
			e.common.Log.Info("edit adopted by a majority", "edit_id", after.EditID, "version", after.Version)
			return nil
		}
		time.Sleep(adoptionPollInterval)
	}
	return result.New(result.EditPending, "version %d is committed, but no majority has adopted it yet", after.Version)
}
