// Package pins finds the versions that a session without a token is pinned to.
// The table service decides; daemons keep copies, which never change.
package pins

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// Table is the table that holds the pins, by account, route and session.
const Table = "pins"

const (
	copies    = 2
	peerLimit = 300 * clock.Millis(1)
)

// Peers is what the keeper needs of other daemons.
type Peers interface {
	// PutPins gives the daemon a copy of a session's pins.
	PutPins(ctx context.Context, address, name string, pins session.Pins)
	// GetPins returns the daemon's copy, or nil.
	GetPins(ctx context.Context, address, name string) session.Pins
}

// Resolver is safe for concurrent use.
type Resolver struct {
	common    *common.Common
	table     tableservice.Service
	peers     Peers
	snapshots func() *controlstate.Snapshot
	cache     *container.LRU[string, session.Pins]
}

// NewResolver returns a keeper with an empty cache.
func NewResolver(c *common.Common, table tableservice.Service, peers Peers, snapshots func() *controlstate.Snapshot) *Resolver {
	return &Resolver{
		common:    c,
		table:     table,
		peers:     peers,
		snapshots: snapshots,
		cache:     container.NewLRU[string, session.Pins](int(c.Settings.Limits.PinCache)),
	}
}

// Resolve returns the session's pins, and makes them as proposed where the
// session is new. While the table service is away, known sessions go on by
// copies; others get PinUnavailable.
func (k *Resolver) Resolve(ctx context.Context, name string, proposed session.Pins) (session.Pins, error) {
	if pins, ok := k.cache.Get(name); ok {
		return pins, nil
	}
	pins, err := k.insert(ctx, name, proposed)
	if err == nil {
		k.cache.Put(name, pins)
		k.copyOut(ctx, name, pins)
		return pins, nil
	}
	if pins, ok := k.askPeers(ctx, name); ok {
		k.cache.Put(name, pins)
		return pins, nil
	}
	return nil, result.Wrap(err, result.PinUnavailable)
}

func (k *Resolver) insert(ctx context.Context, name string, proposed session.Pins) (session.Pins, error) {
	w, err := tableservice.NewWrite(Table, name, proposed, tableservice.IfAbsent, 0)
	if err != nil {
		return nil, err
	}
	applied, err := k.table.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	if errors.Is(err, tableservice.ErrOutcomeUnknown) {
		return k.readBack(ctx, name)
	}
	if err != nil {
		return nil, err
	}
	return decode(applied[0].Row)
}

// readBack settles a lost answer: whatever stands there is the pin.
func (k *Resolver) readBack(ctx context.Context, name string) (session.Pins, error) {
	row, err := k.table.Get(ctx, Table, name)
	if err != nil {
		return nil, err
	}
	return decode(row)
}

func decode(row tableservice.Row) (session.Pins, error) {
	var pins session.Pins
	err := json.Unmarshal(row.Value, &pins)
	return pins, errors.Wrap(err, "decode pins")
}

// StoreReplica takes in pins that a peer has read from the table service.
func (k *Resolver) StoreReplica(name string, pins session.Pins) { k.cache.Put(name, pins) }

// Cached returns pins for a peer.
func (k *Resolver) Cached(name string) session.Pins {
	pins, _ := k.cache.Get(name)
	return pins
}

// owners are the peers that keep a session's copies.
func (k *Resolver) owners(name string) []string {
	s := k.snapshots()
	var addresses []string
	for _, member := range container.Rendezvous(name, s.Document.Members(), func(m string) string { return m }) {
		if member != s.Self {
			addresses = append(addresses, s.Document.Hosts[member].PeerAddress)
		}
	}
	return addresses[:min(len(addresses), copies)]
}

func (k *Resolver) copyOut(ctx context.Context, name string, pins session.Pins) {
	for _, address := range k.owners(name) {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerLimit.Duration())
			defer cancel()
			// A copy only helps while the table service is away; the row is what counts.
			k.peers.PutPins(ctx, address, name, pins)
		}()
	}
}

func (k *Resolver) askPeers(ctx context.Context, name string) (session.Pins, bool) {
	for _, address := range k.owners(name) {
		ctx, cancel := context.WithTimeout(ctx, peerLimit.Duration())
		pins := k.peers.GetPins(ctx, address, name)
		cancel()
		if pins != nil {
			return pins, true
		}
	}
	return nil, false
}
