// Package fleet holds what a daemon believes of the backend servers, the data
// centres and the roll-outs.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// View is what traffic decides by. It is immutable; the With methods return
// changed copies.
type View struct {
	Catalog      *catalog.Catalog // nil until a configuration is known
	Evacuated    map[string]bool  // data centres that operators have taken out
	Rollouts     map[string]Rollout
	Hosts        map[string]Host // that run a daemon, by name
	LoadedTables map[string]bool // tables of the store that have been read whole
	// StoreOffset is what the store's clock is ahead of this daemon's.
	StoreOffset clock.Millis

	names   []string // of the hosts, in order
	servers map[string]Entry
	pools   map[string][]Entry
}

// Entry is a server with the times that concern it.
type Entry struct {
	Server
	UpdatedAt clock.Millis // when the server's description last changed
	ColdUntil clock.Millis
}

// NewView returns a view that knows nothing.
func NewView() *View {
	return &View{
		Evacuated:    map[string]bool{},
		Rollouts:     map[string]Rollout{},
		Hosts:        map[string]Host{},
		LoadedTables: map[string]bool{},
		servers:      map[string]Entry{},
		pools:        map[string][]Entry{},
	}
}

// WithCatalog returns a copy that goes by the catalog.
func (v *View) WithCatalog(c *catalog.Catalog) *View {
	n := *v
	n.Catalog = c
	return &n
}

// WithServer returns a copy in which the server is as given. A server that was
// cold before stays so as long as it said.
func (v *View) WithServer(s Server, now clock.Millis) *View {
	e := Entry{Server: s, UpdatedAt: now, ColdUntil: now + s.ColdRemaining}
	if s.ColdRemaining <= 0 {
		e.ColdUntil = 0
	}
	return v.withEntry(e)
}

// WithoutServer returns a copy that has forgotten the server.
func (v *View) WithoutServer(id string) *View {
	e, ok := v.servers[id]
	if !ok {
		return v
	}
	n := *v
	n.servers = maps.Clone(v.servers)
	delete(n.servers, id)
	n.setInPool(e, false)
	return &n
}

func (v *View) withEntry(e Entry) *View {
	n := *v
	n.servers = maps.Clone(v.servers)
	old, known := n.servers[e.ID]
	n.servers[e.ID] = e
	if known && old.Pool != e.Pool {
		n.setInPool(old, false)
	}
	n.setInPool(e, true)
	return &n
}

// setInPool puts the server into the list of its pool, or takes it out. The lists are
// in the order of the ids.
func (v *View) setInPool(e Entry, in bool) {
	list := slices.Clone(v.pools[e.Pool])
	at, found := slices.BinarySearchFunc(list, e.ID, func(o Entry, id string) int { return cmp.Compare(o.ID, id) })
	switch {
	case in && found:
		list[at] = e
	case in:
		list = slices.Insert(list, at, e)
	case found:
		list = slices.Delete(list, at, at+1)
	}
	v.pools = maps.Clone(v.pools)
	v.pools[e.Pool] = list
}

// ServerIDsAt returns the ids of the servers that are registered at the address, in
// order.
func (v *View) ServerIDsAt(address string) []string {
	var ids []string
	for id, e := range v.servers {
		if e.Address == address {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (v *View) rebuildPool(pool string) {
	var list []Entry
	for _, e := range v.servers {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	v.pools = maps.Clone(v.pools)
	v.pools[pool] = list
}

// WithEvacuated returns a copy in which the data centre is out of service or not.
func (v *View) WithEvacuated(dataCentre string, out bool) *View {
	n := *v
	n.Evacuated = maps.Clone(v.Evacuated)
	delete(n.Evacuated, dataCentre)
	if out {
		n.Evacuated[dataCentre] = true
	}
	return &n
}

// WithColdDataCentre returns a copy in which the servers of the data centre are
// cold for as long as their pools' servers are after a start.
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
	for pool := range pools {
		n.rebuildPool(pool)
	}
	return &n
}

// WithRollout returns a copy in which the pool has the roll-out.
func (v *View) WithRollout(r Rollout) *View {
	n := *v
	n.Rollouts = maps.Clone(v.Rollouts)
	n.Rollouts[r.Pool] = r
	return &n
}

// WithoutRollout returns a copy in which the pool has no roll-out.
func (v *View) WithoutRollout(pool string) *View {
	n := *v
	n.Rollouts = maps.Clone(v.Rollouts)
	delete(n.Rollouts, pool)
	return &n
}

// Host is a host that runs a daemon.
type Host struct {
	Address    string // where its daemon listens for others
	DataCentre string
	LinkMbps   int // of its network link; 0 where it isn't known
}

// WithHost returns a copy with the host as given; one without an address isn't
// there.
func (v *View) WithHost(name string, h Host) *View {
	n := *v
	n.Hosts = maps.Clone(v.Hosts)
	delete(n.Hosts, name)
	if h.Address != "" {
		n.Hosts[name] = h
	}
	n.names = slices.Sorted(maps.Keys(n.Hosts))
	return &n
}

// WithoutHosts returns a copy that knows no hosts.
func (v *View) WithoutHosts() *View {
	n := *v
	n.Hosts, n.names = map[string]Host{}, nil
	return &n
}

// HostNames returns the names of the hosts in order. Callers must not change it.
func (v *View) HostNames() []string { return v.names }

// WithLoadedTable returns a copy in which the table has been read whole.
func (v *View) WithLoadedTable(table string) *View {
	n := *v
	n.LoadedTables = maps.Clone(v.LoadedTables)
	n.LoadedTables[table] = true
	return &n
}

// WithStoreOffset returns a copy that knows the store's clock.
func (v *View) WithStoreOffset(offset clock.Millis) *View {
	n := *v
	n.StoreOffset = offset
	return &n
}

// Server returns the entry of the server.
func (v *View) Server(id string) (Entry, bool) {
	e, ok := v.servers[id]
	return e, ok
}

// Pool returns the entries of the pool's servers in the order of their ids,
// those that are out of service too. Callers must not change it.
func (v *View) Pool(name string) []Entry { return v.pools[name] }

// ServerIDs returns the ids of all servers.
func (v *View) ServerIDs() []string { return slices.Sorted(maps.Keys(v.servers)) }

// InService tells whether the server may get new work.
func (v *View) InService(e *Entry) bool {
	return !e.Draining && (len(v.Evacuated) == 0 || !v.Evacuated[e.DataCentre])
}
