// Package pins resolves the versions to which a session without a session token is pinned.
// The row in the table service is authoritative. The pins of a session never change, so
// daemons cache them without invalidation.
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

// Table is the table of pins. Its key consists of the client account, the route and the
// session.
const Table = "pins"

const (
	maxReplicas = 2
	peerTimeout = 300 * clock.Millis(1)
)

// Peers exchanges replicas of pins with other daemons.
type Peers interface {
	// PutPins sends the daemon a replica of a session's pins.
	PutPins(ctx context.Context, address, key string, pins session.Pins)
	// GetPins returns the daemon's replica, or nil.
	GetPins(ctx context.Context, address, key string) session.Pins
}

// Resolver resolves and caches the pins of sessions. Safe for concurrent use.
type Resolver struct {
	common       *common.Common
	tableService tableservice.Service
	peers        Peers
	snapshot     func() *controlstate.Snapshot
	cache        *container.LRU[string, session.Pins]
}

// NewResolver returns a resolver with an empty cache.
func NewResolver(c *common.Common, tableService tableservice.Service, peers Peers, snapshot func() *controlstate.Snapshot) *Resolver {
	return &Resolver{
		common:       c,
		tableService: tableService,
		peers:        peers,
		snapshot:     snapshot,
		cache:        container.NewLRU[string, session.Pins](int(c.Settings.Limits.PinCache)),
	}
}

// Resolve returns the pins of the session, which is identified by its key in Table. A new
// session gets the proposed ones. While the table service is unavailable, pins come from the
// cache or a peer's replica; Resolve returns PinUnavailable if there is none.
func (r *Resolver) Resolve(ctx context.Context, key string, proposed session.Pins) (session.Pins, error) {
	if pins, ok := r.cache.Get(key); ok {
		return pins, nil
	}
	pins, err := r.insert(ctx, key, proposed)
	if err == nil {
		r.cache.Put(key, pins)
		r.replicate(ctx, key, pins)
		return pins, nil
	}
	if pins, ok := r.fetchFromPeers(ctx, key); ok {
		r.cache.Put(key, pins)
		return pins, nil
	}
	return nil, result.Wrap(err, result.PinUnavailable)
}

// insert writes the proposed pins if the session has none, and returns the pins in the
// table.
func (r *Resolver) insert(ctx context.Context, key string, proposed session.Pins) (session.Pins, error) {
	w, err := tableservice.NewWrite(Table, key, proposed, tableservice.IfAbsent, 0)
	if err != nil {
		return nil, err
	}
	applied, err := r.tableService.Commit(ctx, tableservice.Batch{Writes: []tableservice.Write{w}})
	if errors.Is(err, tableservice.ErrOutcomeUnknown) {
		return r.readBack(ctx, key)
	}
	if err != nil {
		return nil, err
	}
	return decode(applied[0].Row)
}

// readBack returns the pins in the table after the response to the insert was lost. They
// apply no matter which daemon wrote them.
func (r *Resolver) readBack(ctx context.Context, key string) (session.Pins, error) {
	row, err := r.tableService.Get(ctx, Table, key)
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

// StoreReplica caches pins that a peer has read from the table service.
func (r *Resolver) StoreReplica(key string, pins session.Pins) { r.cache.Put(key, pins) }

// Cached returns the cached pins, or nil.
func (r *Resolver) Cached(key string) session.Pins {
	pins, _ := r.cache.Get(key)
	return pins
}

// replicaAddresses returns the addresses of the peers that hold a session's replicas.
func (r *Resolver) replicaAddresses(key string) []string {
	s := r.snapshot()
	var addresses []string
	for _, member := range container.Rendezvous(key, s.Document.Members(), func(m string) string { return m }) {
		if member != s.Self {
			addresses = append(addresses, s.Document.Hosts[member].PeerAddress)
		}
	}
	return addresses[:min(len(addresses), maxReplicas)]
}

func (r *Resolver) replicate(ctx context.Context, key string, pins session.Pins) {
	for _, address := range r.replicaAddresses(key) {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout.Duration())
			defer cancel()
			// Best effort: replicas are used only while the table service is unavailable.
			r.peers.PutPins(ctx, address, key, pins)
		}()
	}
}

func (r *Resolver) fetchFromPeers(ctx context.Context, key string) (session.Pins, bool) {
	for _, address := range r.replicaAddresses(key) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
		pins := r.peers.GetPins(ctx, address, key)
		cancel()
		if pins != nil {
			return pins, true
		}
	}
	return nil, false
}
