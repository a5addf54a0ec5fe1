// Package catalog holds the table of routes and the table of pools in the form
// that requests are matched against.
package catalog

import (
	"slices"
	"strings"
)

// Catalog is one version of the operators' tables. It is immutable.
type Catalog struct {
	Version  int64
	Limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	pools    map[string]Pool
	accounts map[string]ClientAccount // by key
	keyed    bool
}

// Tables are the parts of a catalog.
type Tables struct {
	Version    int64
	Limits     Limits
	Routes     []Route
	Pools      []Pool
	Accounts   map[string]ClientAccount // by key
	RequireKey bool                     // callers need a key, also where no account has one
}

// New returns the catalog of the tables.
func New(t Tables) *Catalog {
	c := &Catalog{
		Version:  t.Version,
		Limits:   t.Limits,
		routes:   make(map[string][]*Route),
		pools:    make(map[string]Pool, len(t.Pools)),
		accounts: t.Accounts,
		keyed:    t.RequireKey,
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
	return c
}

// Match returns the route of the host whose prefix is the longest that begins
// the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool with that name.
func (c *Catalog) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// NeedsKey tells whether requests on the route need a client account's key.
func (c *Catalog) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// ClientAccount returns the client account that has the key.
func (c *Catalog) ClientAccount(key string) (ClientAccount, bool) {
	a, ok := c.accounts[key]
	return a, ok && key != ""
}
