// Package catalog holds the routes, pools and client accounts of a configuration in the
// form that requests are matched against. It serves program/entry; the configuration of
// program/daemon is in package tables.
package catalog

import (
	"maps"
	"slices"
	"strings"
)

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version    int64
	Limits     Limits
	routes     map[string][]*Route // by host, longest prefix first
	pools      map[string]Pool
	accounts   map[string]ClientAccount // by key
	requireKey bool
	priorities map[string]priorityRange // of the routes with several models, by pool
}

// Tables holds the contents of a Catalog.
type Tables struct {
	Version    int64
	Limits     Limits
	Routes     []Route
	Pools      []Pool
	Accounts   map[string]ClientAccount // by key
	RequireKey bool                     // requests need a key, even if no client account has one
}

// New returns a catalog of the tables, which must not change afterwards.
func New(t Tables) *Catalog {
	c := &Catalog{
		Version:    t.Version,
		Limits:     t.Limits,
		routes:     make(map[string][]*Route),
		pools:      make(map[string]Pool, len(t.Pools)),
		accounts:   t.Accounts,
		requireKey: t.RequireKey,
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, p := range t.Pools {
		c.pools[p.Name] = p
	}
	c.priorities = priorityRanges(t.Routes)
	return c
}

// Match returns the route of the host with the longest prefix of the path; nil if none
// matches.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool with the name; false if there is none.
func (c *Catalog) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns all pools, in no particular order.
func (c *Catalog) Pools() []Pool { return slices.Collect(maps.Values(c.pools)) }

// NeedsKey reports whether requests on the route need the key of a client account.
func (c *Catalog) NeedsKey(r *Route) bool { return c.requireKey && !r.Public }

// ClientAccount returns the client account with the key; false if there is none or the
// key is empty.
func (c *Catalog) ClientAccount(key string) (ClientAccount, bool) {
	a, ok := c.accounts[key]
	return a, ok && key != ""
}
