package peerfeed

import (
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// ChangesRequest asks another daemon for the changes of a table.
type ChangesRequest struct {
	Table   string       `json:"t"`
	After   int64        `json:"a"` // store version up to which the requesting daemon has the table
	Epoch   int64        `json:"e"` // of After
	MaxWait clock.Millis `json:"w"` // how long the response may be held back while there is nothing new
	// KnownAge is the time since the store confirmed After, as far as the requesting daemon
	// knows. A newer confirmation is a reason to respond.
	KnownAge clock.Millis `json:"k"`
}

// ChangesResponse holds the rows that changed after the requested version.
type ChangesResponse struct {
	Rows    []changedRow `json:"r,omitempty"`
	Version int64        `json:"v"` // store version up to which the response is complete
	Epoch   int64        `json:"e"` // of Version; if it is not the requested one, Rows has all differences
	Now     clock.Millis `json:"n"` // time of the store's clock
	Age     clock.Millis `json:"a"` // time since the store confirmed Version
	Held    clock.Millis `json:"h"` // time for which the response was held back
	// Unavailable means that the requesting daemon must call the store itself: the
	// responding daemon is disconnected from the store, or its history does not go
	// back to the requested version.
	Unavailable bool `json:"u,omitempty"`
}

// changedRow is a row of the requested table.
type changedRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec; keeps rows, the bulk of a response, compact.

	Key     string
	Value   []byte
	Version int64
	Deleted bool
	Epoch   int64
}

func encodeRow(r rowstore.Row) changedRow {
	return changedRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted, Epoch: r.Epoch}
}

func (r changedRow) decode(table string) rowstore.Row {
	return rowstore.Row{Table: table, Key: r.Key, Value: r.Value, Version: r.Version, Epoch: r.Epoch, Deleted: r.Deleted}
}
