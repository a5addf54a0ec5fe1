// Package fleet holds a daemon's view of the backend servers, data centres, hosts and
// roll-outs. It serves program/entry; in program/daemon, packages tables and placement
// hold this state.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// View is the state that requests are routed by. It is immutable; the With and Without
// methods return changed copies.
type View struct {
	Catalog      *catalog.Catalog // nil until a configuration is known
	Evacuated    map[string]bool  // data centres that operators have taken out of service
	Rollouts     map[string]Rollout
	Hosts        map[string]Host // by name
	LoadedTables map[string]bool // tables of the store that have been read completely
	// Quarantines are those that the store holds, by what is quarantined.
	Quarantines map[QuarantineKey]Quarantine
	// StoreOffset is the store's clock minus this daemon's clock.
	StoreOffset clock.Millis

	outOfService map[string]bool // servers that get no new requests, by ID

	hostNames []string // sorted
	servers   map[string]Entry
	pools     map[string][]Entry // servers by pool, sorted by ID
}

// Entry is a server in a view.
type Entry struct {
	Server
	UpdatedAt clock.Millis // when the registration last changed
	ColdUntil clock.Millis // 0 if it registered as warm
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		Evacuated:    map[string]bool{},
		Rollouts:     map[string]Rollout{},
		Hosts:        map[string]Host{},
		LoadedTables: map[string]bool{},
		Quarantines:  map[QuarantineKey]Quarantine{},
		servers:      map[string]Entry{},
		pools:        map[string][]Entry{},
	}
}

// WithCatalog returns a copy with the catalog.
func (v *View) WithCatalog(c *catalog.Catalog) *View {
	n := *v
	n.Catalog = c
	return &n
}

// WithQuarantine returns a copy with the quarantine.
func (v *View) WithQuarantine(key QuarantineKey, q Quarantine) *View {
	n := *v
	n.Quarantines = maps.Clone(v.Quarantines)
	n.Quarantines[key] = q
	return &n
}

// WithoutQuarantine returns a copy without the quarantine.
func (v *View) WithoutQuarantine(key QuarantineKey) *View {
	n := *v
	n.Quarantines = maps.Clone(v.Quarantines)
	delete(n.Quarantines, key)
	return &n
}

// Rank returns the host's position in the order of precedence that all daemons derive for
// the key, or the number of hosts if the view lacks the host.
func (v *View) Rank(key, host string) int {
	order := container.Rendezvous(key, v.HostNames(), func(h string) string { return h })
	if i := slices.Index(order, host); i >= 0 {
		return i
	}
	return len(order)
}

// WithServer returns a copy with the server added or replaced; see Editor.SetServer.
func (v *View) WithServer(s Server, now clock.Millis) *View {
	e := v.Edit()
	e.SetServer(s, now)
	return e.View()
}

// WithoutServer returns a copy without the server.
func (v *View) WithoutServer(id string) *View {
	e := v.Edit()
	e.RemoveServer(id)
	return e.View()
}

// rebuildPools creates the lists of the pools anew from the servers.
func (v *View) rebuildPools(names map[string]bool) {
	v.pools = maps.Clone(v.pools)
	for name := range names {
		v.pools[name] = make([]Entry, 0, len(v.pools[name])+1)
	}
	for _, e := range v.servers {
		if names[e.Pool] {
			v.pools[e.Pool] = append(v.pools[e.Pool], e)
		}
	}
	for name := range names {
		slices.SortFunc(v.pools[name], func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// WithEvacuated returns a copy in which the data centre is out of service if out is set,
// and in service otherwise.
func (v *View) WithEvacuated(dataCentre string, out bool) *View {
	n := *v
	n.Evacuated = maps.Clone(v.Evacuated)
	delete(n.Evacuated, dataCentre)
	if out {
		n.Evacuated[dataCentre] = true
	}
	return &n
}

// WithColdDataCentre returns a copy in which the servers of the data centre are cold for
// at least the ColdDuration of their pools.
func (v *View) WithColdDataCentre(dataCentre string, now clock.Millis) *View {
	n := *v
	if v.Catalog == nil {
		return &n
	}
	n.servers = maps.Clone(v.servers)
	pools := make(map[string]bool)
	for id, e := range n.servers {
		pool, ok := v.Catalog.Pool(e.Pool)
		if !ok || e.DataCentre != dataCentre {
			continue
		}
		e.ColdUntil = max(e.ColdUntil, now+pool.ColdDuration)
		n.servers[id] = e
		pools[e.Pool] = true
	}
	n.rebuildPools(pools)
	return &n
}

// WithOutOfService returns a copy in which just the given servers get no new requests
// although their entries and data centres would allow them.
func (v *View) WithOutOfService(ids map[string]bool) *View {
	n := *v
	n.outOfService = ids
	return &n
}

// WithRollout returns a copy with the roll-out, which replaces any other of its pool.
func (v *View) WithRollout(r Rollout) *View {
	n := *v
	n.Rollouts = maps.Clone(v.Rollouts)
	n.Rollouts[r.Pool] = r
	return &n
}

// WithoutRollout returns a copy without the roll-out of the pool.
func (v *View) WithoutRollout(pool string) *View {
	n := *v
	n.Rollouts = maps.Clone(v.Rollouts)
	delete(n.Rollouts, pool)
	return &n
}

// Host is a host that runs a daemon.
type Host struct {
	Address    string // where its daemon listens for peers
	DataCentre string
	LinkMbps   int  // bandwidth of its network link; 0 if unknown
	Lost       bool // the store has returned from a copy without the host's row
}

// WithHost returns a copy with the host added or replaced, or removed if it has no
// address.
func (v *View) WithHost(name string, h Host) *View {
	e := v.Edit()
	e.SetHost(name, h)
	return e.View()
}

// HostNames returns the sorted names of the hosts. Callers must not change it.
func (v *View) HostNames() []string { return v.hostNames }

// WithLoadedTable returns a copy in which the table has been read completely.
func (v *View) WithLoadedTable(table string) *View {
	n := *v
	n.LoadedTables = maps.Clone(v.LoadedTables)
	n.LoadedTables[table] = true
	return &n
}

// WithStoreOffset returns a copy with the StoreOffset.
func (v *View) WithStoreOffset(offset clock.Millis) *View {
	n := *v
	n.StoreOffset = offset
	return &n
}

// Server returns the entry of the server; false if there is none.
func (v *View) Server(id string) (Entry, bool) {
	e, ok := v.servers[id]
	return e, ok
}

// Pool returns the pool's servers sorted by ID, including those out of service. Callers
// must not change it.
func (v *View) Pool(name string) []Entry { return v.pools[name] }

// ServerIDs returns the sorted ids of all servers.
func (v *View) ServerIDs() []string { return slices.Sorted(maps.Keys(v.servers)) }

// InService reports whether the server may get new requests.
func (v *View) InService(e *Entry) bool {
	return !e.Draining && (len(v.Evacuated) == 0 || !v.Evacuated[e.DataCentre]) && !v.outOfService[e.ID]
}
