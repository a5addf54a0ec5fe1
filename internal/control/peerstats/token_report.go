package peerstats

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TokenReport is the tokens in flight at the servers of Snapshot.Loads, which it refers to by
// their places in the order of their IDs: the IDs would be most of it.
type TokenReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Private []int          `json:"p"` // by place
	Shared  []SharedTokens `json:"s"`
}

// SharedTokens are the tokens of a prefix that requests at a server share.
type SharedTokens struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Server int    `json:"i"` // its place
	Prefix uint32 `json:"h"`
	Tokens int    `json:"t"`
}

// newTokenReport returns the report of the tokens at the servers that have loads; nil if there
// are none.
func newTokenReport(loads map[string]loadbalance.Load, tokens map[string]loadbalance.TokenLoad) *TokenReport {
	if len(tokens) == 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(loads))
	r := &TokenReport{Private: make([]int, len(ids))}
	for place, id := range ids {
		load := tokens[id]
		r.Private[place] = load.Private
		for prefix, n := range load.Shared {
			r.Shared = append(r.Shared, SharedTokens{Server: place, Prefix: prefix, Tokens: n})
		}
	}
	return r
}

// loads returns the tokens by server ID. A report that doesn't fit the loads has none.
func (r *TokenReport) loads(loads map[string]loadbalance.Load) map[string]loadbalance.TokenLoad {
	if r == nil || len(r.Private) != len(loads) {
		return nil
	}
	ids := slices.Sorted(maps.Keys(loads))
	tokens := make(map[string]loadbalance.TokenLoad, len(ids))
	for place, id := range ids {
		if r.Private[place] > 0 {
			tokens[id] = loadbalance.TokenLoad{Private: r.Private[place]}
		}
	}
	for _, s := range r.Shared {
		if s.Server >= 0 && s.Server < len(ids) {
			id := ids[s.Server]
			tokens[id] = tokens[id].Plus(loadbalance.TokenLoad{Shared: map[uint32]int{s.Prefix: s.Tokens}})
		}
	}
	return tokens
}

// SetOwnTokens replaces the tokens of this daemon's requests in flight by server ID.
func (a *Aggregator) SetOwnTokens(tokens map[string]loadbalance.TokenLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownTokens = tokens
}

// PeerTokens returns the tokens of the other daemons' requests in flight by server ID, and when
// the newest report arrived. ok is false if no report is fresh.
func (a *Aggregator) PeerTokens() (tokens map[string]loadbalance.TokenLoad, at clock.Millis, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	note := func(receivedAt clock.Millis) {
		if now-receivedAt < loadLifetime {
			at, ok = max(at, receivedAt), true
		}
	}
	if a.peerTotal != nil {
		note(a.peerTotal.receivedAt)
	}
	for _, reports := range []map[string]received{a.hosts, a.dataCentres} {
		for _, r := range reports {
			note(r.receivedAt)
		}
	}
	a.dropExpired()
	return a.others().tokens, at, ok
}
