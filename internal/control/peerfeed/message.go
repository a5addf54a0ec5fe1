package peerfeed

import (
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// ChangesRequest is a daemon's question for what changed in a table.
type ChangesRequest struct {
	Table   string       `json:"t"`
	After   int64        `json:"a"` // version of the store up to which the asking daemon knows the table
	MaxWait clock.Millis `json:"w"` // how long to wait for changes at most
}

// ChangesResponse holds what changed.
type ChangesResponse struct {
	Rows    []changedRow `json:"r,omitempty"`
	Version int64        `json:"v"` // that the table is known up to
	Now     clock.Millis `json:"n"` // by the store's clock
	Age     clock.Millis `json:"a"` // since the store confirmed the version
	// Unavailable says that the store has to be asked: the answering daemon is itself
	// out of touch, or doesn't remember what changed since.
	Unavailable bool `json:"u,omitempty"`
}

// changedRow is a row of the table that was asked for.
type changedRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: rows are most of an answer.

	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

func encodeRow(r rowstore.Row) changedRow {
	return changedRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
}

func (r changedRow) decode(table string) rowstore.Row {
	return rowstore.Row{Table: table, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
}
