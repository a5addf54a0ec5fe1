package core

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
)

// State is what one daemon tells another that pulls it.
type State struct {
	Sightings []WireSighting        `json:"s"`
	Notices   []WireNotice          `json:"n,omitempty"`
	Tripped   []TripNotice          `json:"t,omitempty"`
	Sends     []WireSend            `json:"q,omitempty"`
	Counts    []cascade.RatingCount `json:"c,omitempty"`
	Evidence  []VersionCount        `json:"e,omitempty"`
	Member    string                `json:"m"`
	Version   int64                 `json:"v"`
}

// WireSighting is a sighting with its age in place of an instant, since the
// daemons' clocks can't be compared.
type WireSighting struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: the sightings are most of a message.

	Member      string `json:"m"`
	Incarnation uint64 `json:"i"`
	Synced      bool   `json:"y"`
	Version     int64  `json:"v"`
	AgeMs       int64  `json:"a"`
}

// WireNotice says that a server was seen cold or leaving some time ago.
type WireNotice struct {
	Server  placement.ServerKey `json:"k"`
	Leaving bool                `json:"l"`
	AgeMs   int64               `json:"a"`
}

// TripNotice says that a version was found bad under that document version.
type TripNotice struct {
	Name    string `json:"n"`
	Version int64  `json:"v"`
}

// WireSend is the sender's requests under way at a server.
type WireSend struct {
	Server placement.ServerKey `json:"k"`
	Count  int                 `json:"n"`
}

// VersionCount is how many good and bad answers of a version the sender has seen
// since its start.
type VersionCount struct {
	Name string `json:"n"` // model@version
	Good int    `json:"g"`
	Bad  int    `json:"b"`
}
