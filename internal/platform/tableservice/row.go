// Package tableservice is a client of the platform's transactional table service.
package tableservice

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is one row of a table.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version int64           `json:"version"` // number of writes to the row
	Value   json.RawMessage `json:"value"`
}

// Condition determines whether a write is applied.
type Condition string

// The conditions of a write.
const (
	IfAbsent  Condition = "absent"  // if the row does not exist
	IfVersion Condition = "version" // if the row has the version of the write
	Always    Condition = "always"
)

// Write sets the value of one row.
type Write struct {
	Table     string          `json:"table"`
	Key       string          `json:"key"`
	Value     json.RawMessage `json:"value"`
	Condition Condition       `json:"condition"`
	Version   int64           `json:"version,omitempty"` // for IfVersion
}

// Batch holds the writes of one commit. If it is atomic, either all writes are applied
// or none. Otherwise the condition of each write decides for that write alone.
type Batch struct {
	Atomic bool    `json:"atomic"`
	Writes []Write `json:"writes"`
}

// WriteResult is the outcome of one write. Row is the state of the row after the commit,
// whether or not the write was applied.
type WriteResult struct {
	Applied bool `json:"applied"`
	Row     Row  `json:"row"`
}

// ErrUnavailable means that the service is unavailable and nothing was written.
var ErrUnavailable = errors.New("table service unavailable")

// ErrOutcomeUnknown means that the response to a commit was lost. The commit may have
// been applied.
var ErrOutcomeUnknown = errors.New("table service: outcome unknown")

// ErrNotFound means that the row does not exist.
var ErrNotFound = errors.New("table service: row not found")

// NewWrite returns a write of the value, encoded as JSON.
func NewWrite(table, key string, value any, condition Condition, version int64) (Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Write{}, errors.Wrapf(err, "encode %s/%s", table, key)
	}
	return Write{Table: table, Key: key, Value: data, Condition: condition, Version: version}, nil
}
