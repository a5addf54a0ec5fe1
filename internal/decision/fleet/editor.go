package fleet

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Editor collects changes of the servers and hosts of a view, so that any number of them
// costs one copy. It is not safe for concurrent use.
type Editor struct {
	base      *View
	servers   map[string]Entry
	addresses map[string][]string // ids by address
	pools     map[string]bool     // with changes
	hosts     map[string]Host     // nil if unchanged
}

// Edit returns an editor of a copy of the view.
func (v *View) Edit() *Editor { return &Editor{base: v, servers: v.servers} }

// begin copies the servers before the first change.
func (e *Editor) begin() {
	if e.pools != nil {
		return
	}
	e.servers = maps.Clone(e.base.servers)
	e.pools = make(map[string]bool)
	e.addresses = make(map[string][]string, len(e.servers))
	for id, entry := range e.servers {
		e.addresses[entry.Address] = append(e.addresses[entry.Address], id)
	}
}

// Server returns the entry of the server; false if there is none.
func (e *Editor) Server(id string) (Entry, bool) {
	entry, ok := e.servers[id]
	return entry, ok
}

// SetServer adds or replaces the server. It is cold for the time that its registration
// gives.
func (e *Editor) SetServer(s Server, now clock.Millis) {
	e.RemoveServer(s.ID)
	e.begin()
	entry := Entry{Server: s, UpdatedAt: now}
	if s.ColdRemaining > 0 {
		entry.ColdUntil = now + s.ColdRemaining
	}
	e.servers[s.ID] = entry
	e.addresses[s.Address] = append(e.addresses[s.Address], s.ID)
	e.pools[s.Pool] = true
}

// RemoveServer removes the server if there is one.
func (e *Editor) RemoveServer(id string) {
	entry, ok := e.servers[id]
	if !ok {
		return
	}
	e.begin()
	delete(e.servers, id)
	e.addresses[entry.Address] = slices.DeleteFunc(e.addresses[entry.Address], func(other string) bool { return other == id })
	e.pools[entry.Pool] = true
}

// ServerIDsAt returns the sorted ids of the servers registered at the address.
func (e *Editor) ServerIDsAt(address string) []string {
	e.begin()
	return slices.Sorted(slices.Values(e.addresses[address]))
}

// Host returns the host with the name; one without an address if there is none.
func (e *Editor) Host(name string) Host {
	if e.hosts != nil {
		return e.hosts[name]
	}
	return e.base.Hosts[name]
}

// SetHost adds or replaces the host, or removes it if it has no address.
func (e *Editor) SetHost(name string, h Host) {
	if e.hosts == nil {
		e.hosts = maps.Clone(e.base.Hosts)
	}
	delete(e.hosts, name)
	if h.Address != "" {
		e.hosts[name] = h
	}
}

// RemoveHosts removes all hosts.
func (e *Editor) RemoveHosts() { e.hosts = make(map[string]Host) }

// View returns the view with the changes. The editor must not be used afterwards.
func (e *Editor) View() *View {
	if len(e.pools) == 0 && e.hosts == nil {
		return e.base
	}
	n := *e.base
	if len(e.pools) > 0 {
		n.servers = e.servers
		n.rebuildPools(e.pools)
	}
	if e.hosts != nil {
		n.Hosts, n.hostNames = e.hosts, slices.Sorted(maps.Keys(e.hosts))
	}
	return &n
}
