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

// quarantineKeyPrefix is followed by the name of a quarantine.Part.
const quarantineKeyPrefix = "quarantine/"

// quarantineRow is the record of a quarantined part. The time is in milliseconds
// of the store's clock.
type quarantineRow struct {
	SinceMs int64 `json:"since_ms"`
	HoldMs  int64 `json:"hold_ms"`
}

func quarantineKey(part quarantine.Part) string {
	return quarantineKeyPrefix + part.String()
}

// applyQuarantineRow applies the record of a part. A record that the store has lost
// stays in force.
func applyQuarantineRow(state *viewstate.State, name string, row rowstore.Row) error {
	part, err := quarantine.ParsePart(name)
	if err != nil {
		return err
	}
	if row.Superseded {
		state.LoseQuarantine(part)
		return nil
	}
	if row.Deleted {
		state.RemoveQuarantine(part)
		return nil
	}
	var record quarantineRow
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return errors.WithStack(err)
	}
	if record.HoldMs <= 0 {
		return errors.Errorf("invalid hold of %d ms", record.HoldMs)
	}
	state.SetQuarantine(part, fleet.Quarantine{Since: clock.Millis(record.SinceMs), Hold: clock.Millis(record.HoldMs)})
	return nil
}

// QuarantineWrite returns the write that records the quarantine of a part.
func QuarantineWrite(part quarantine.Part, q fleet.Quarantine) (rowstore.Write, error) {
	value, err := json.Marshal(quarantineRow{SinceMs: int64(q.Since), HoldMs: int64(q.Hold)})
	if err != nil {
		return rowstore.Write{}, errors.WithStack(err)
	}
	return rowstore.Write{Table: Table, Key: quarantineKey(part), Value: value, Unconditional: true}, nil
}

// ReleaseWrite returns the write that removes the record of a part.
func ReleaseWrite(part quarantine.Part) rowstore.Write {
	return rowstore.Write{Table: Table, Key: quarantineKey(part), Unconditional: true, Remove: true}
}
