// Package tableservice speaks to the platform's transactional table service.
package tableservice

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is one row of a table. Version counts the row's writes from 1.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Condition says when a write applies.
type Condition string

// The conditions of a write.
const (
	IfAbsent  Condition = "absent"
	IfVersion Condition = "version"
	Always    Condition = "always"
)

// Write changes one row.
type Write struct {
	Table     string          `json:"table"`
	Key       string          `json:"key"`
	Value     json.RawMessage `json:"value"`
	Condition Condition       `json:"condition"`
	Version   int64           `json:"version,omitempty"` // for IfVersion
}

// Batch is what one commit carries. An atomic batch applies whole or not at
// all; in another, each write applies or not by itself.
type Batch struct {
	Atomic bool    `json:"atomic"`
	Writes []Write `json:"writes"`
}

// WriteResult is the outcome of one write. Row is the row as it stands after the
// commit, also where the write did not apply.
type WriteResult struct {
	Applied bool `json:"applied"`
	Row     Row  `json:"row"`
}

// ErrUnavailable says that the service is away and nothing was written.
var ErrUnavailable = errors.New("table service unavailable")

// ErrOutcomeUnknown says that a commit's answer was lost: it may have taken effect.
var ErrOutcomeUnknown = errors.New("table service: outcome unknown")

// ErrNotFound says that there is no such row.
var ErrNotFound = errors.New("table service: no such row")

// NewWrite returns a write of the value in JSON.
func NewWrite(table, key string, value any, condition Condition, version int64) (Write, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return Write{}, errors.Wrapf(err, "encode %s/%s", table, key)
	}
	return Write{Table: table, Key: key, Value: text, Condition: condition, Version: version}, nil
}
