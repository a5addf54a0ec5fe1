package controlstate

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
)

// PeerState is what one daemon tells another that pulls it.
type PeerState struct {
	Members       []MemberStatus        `json:"s"`
	ServerUpdates []ServerUpdate        `json:"n,omitempty"`
	Tripped       []TrippedVersion      `json:"t,omitempty"`
	InFlight      []ServerInFlight      `json:"q,omitempty"`
	Counts        []cascade.RatingCount `json:"c,omitempty"`
	Evidence      []VersionCount        `json:"e,omitempty"`
	Member        string                `json:"m"`
	Version       int64                 `json:"v"`
}

// MemberStatus is a sighting with its age in place of an instant, since the
// daemons' clocks can't be compared.
type MemberStatus struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: the sightings are most of a message.

	Member      string `json:"m"`
	Incarnation uint64 `json:"i"`
	Synced      bool   `json:"y"`
	Version     int64  `json:"v"`
	AgeMs       int64  `json:"a"`
}

// ServerUpdate says that a server was seen cold or leaving some time ago.
type ServerUpdate struct {
	Server  placement.ServerKey `json:"k"`
	Leaving bool                `json:"l"`
	AgeMs   int64               `json:"a"`
}

// TrippedVersion says that a version was found bad under that document version.
type TrippedVersion struct {
	Name    string `json:"n"`
	Version int64  `json:"v"`
}

// ServerInFlight is the sender's requests under way at a server.
type ServerInFlight struct {
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
