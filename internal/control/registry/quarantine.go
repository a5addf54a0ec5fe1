package registry

import (
	"encoding/json"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// quarantineKeyPrefix is followed by the hash of a prompt segment in hexadecimal.
const quarantineKeyPrefix = "quarantine/"

// quarantineRow is the record of a quarantined prompt segment. The time is in milliseconds
// of the store's clock.
type quarantineRow struct {
	SinceMs int64 `json:"since_ms"`
	HoldMs  int64 `json:"hold_ms"`
}

func quarantineKey(segment uint64) string {
	return quarantineKeyPrefix + quarantine.SegmentName(segment)
}

// applyQuarantineRow applies the record of a segment. A record that the store has lost
// stays in force.
func applyQuarantineRow(state *viewstate.State, name string, row rowstore.Row) error {
	segment, err := quarantine.ParseSegmentName(name)
	if err != nil {
		return err
	}
	if row.Superseded {
		state.LoseQuarantine(segment)
		return nil
	}
	if row.Deleted {
		state.RemoveQuarantine(segment)
		return nil
	}
	var record quarantineRow
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return errors.WithStack(err)
	}
	if record.HoldMs <= 0 {
		return errors.Errorf("invalid hold of %d ms", record.HoldMs)
	}
	state.SetQuarantine(segment, fleet.Quarantine{Since: clock.Millis(record.SinceMs), Hold: clock.Millis(record.HoldMs)})
	return nil
}

// QuarantineWrite returns the write that records the quarantine of a segment.
func QuarantineWrite(segment uint64, q fleet.Quarantine) (rowstore.Write, error) {
	value, err := json.Marshal(quarantineRow{SinceMs: int64(q.Since), HoldMs: int64(q.Hold)})
	if err != nil {
		return rowstore.Write{}, errors.WithStack(err)
	}
	return rowstore.Write{Table: Table, Key: quarantineKey(segment), Value: value, Unconditional: true}, nil
}

// ReleaseWrite returns the write that removes the record of a segment.
func ReleaseWrite(segment uint64) rowstore.Write {
	return rowstore.Write{Table: Table, Key: quarantineKey(segment), Unconditional: true, Remove: true}
}
