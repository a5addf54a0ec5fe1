// Package tables holds the operators' configuration: the table of routes, the
// table of pools and what they refer to, as one immutable document with a version.
package tables

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Document is the whole configuration. It is never changed once published;
// the With methods return changed copies.
type Document struct {
	Version        int64                    `json:"version"`
	EditID         string                   `json:"edit_id,omitempty"`
	Routes         map[string]Route         `json:"routes"`
	Pools          map[string]Pool          `json:"pools"`
	Models         map[string]Model         `json:"models"`
	ClientAccounts map[string]ClientAccount `json:"client_accounts"`
	Operators      map[string]Operator      `json:"operators"`
	DataCentres    map[string]DataCentre    `json:"data_centres"`
	Hosts          map[string]Host          `json:"hosts"`
	SessionKeys    []SessionKey             `json:"session_keys"`
}

// HashKey returns the stored form of a caller's or operator's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// JoinVersion names a version of a model.
func JoinVersion(model, version string) string { return model + "@" + version }

// SplitVersion is the inverse of JoinVersion.
func SplitVersion(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "@")
	return model, version
}

// WithEdit returns a copy that carries the number and id of the edit that made
// it from before, and marks the model versions that the edit changed.
func (d *Document) WithEdit(before *Document, editID string) *Document {
	c := *d
	c.Version = before.Version + 1
	c.EditID = editID
	for model, m := range d.Models {
		for name, row := range m.Versions {
			old, ok := before.Models[model].Versions[name]
			row.ChangedIn = old.ChangedIn
			if !ok || row != old {
				row.ChangedIn = c.Version
			}
			next := c.WithVersion(model, name, row)
			c.Models = next.Models
		}
	}
	return &c
}

// WithDataCentreState returns a copy with the data centre in or out of service.
func (d *Document) WithDataCentreState(name string, state ServiceState) *Document {
	c := *d
	c.DataCentres = maps.Clone(d.DataCentres)
	row := c.DataCentres[name]
	row.State = state
	c.DataCentres[name] = row
	return &c
}

// WithHostState returns a copy with the host in or out of service.
func (d *Document) WithHostState(name string, state ServiceState) *Document {
	c := *d
	c.Hosts = maps.Clone(d.Hosts)
	row := c.Hosts[name]
	row.State = state
	c.Hosts[name] = row
	return &c
}

// WithServerState returns a copy with the backend server in or out of service.
func (d *Document) WithServerState(pool, server string, state ServiceState) *Document {
	c := *d
	c.Pools = maps.Clone(d.Pools)
	p := c.Pools[pool]
	p.Servers = maps.Clone(p.Servers)
	row := p.Servers[server]
	row.State = state
	p.Servers[server] = row
	c.Pools[pool] = p
	return &c
}

// WithVersion returns a copy in which the version of the model is as given.
func (d *Document) WithVersion(model, version string, row ModelVersion) *Document {
	c := *d
	c.Models = maps.Clone(d.Models)
	m := c.Models[model]
	m.Versions = maps.Clone(m.Versions)
	m.Versions[version] = row
	c.Models[model] = m
	return &c
}

// AccountByKey returns the client account that has the key.
func (d *Document) AccountByKey(key string) (string, ClientAccount, bool) {
	hash := HashKey(key)
	for name, account := range d.ClientAccounts {
		if slices.Contains(account.KeyHashes, hash) {
			return name, account, true
		}
	}
	return "", ClientAccount{}, false
}

// OperatorByKey tells whether some operator has the key, and which.
func (d *Document) OperatorByKey(key string) (string, bool) {
	hash := HashKey(key)
	for name, operator := range d.Operators {
		if slices.Contains(operator.KeyHashes, hash) {
			return name, true
		}
	}
	return "", false
}

// RouteForModel returns the route for the model name that a caller sent.
func (d *Document) RouteForModel(model string) (string, Route, bool) {
	for name, route := range d.Routes {
		if route.Kind == KindModel && route.MatchModel == model {
			return name, route, true
		}
	}
	return "", Route{}, false
}

// RouteForPath returns the route with the longest matching path prefix.
func (d *Document) RouteForPath(path string) (string, Route, bool) {
	best, bestName := Route{}, ""
	for name, route := range d.Routes {
		if route.Kind != KindApp || !strings.HasPrefix(path, route.MatchPath) {
			continue
		}
		if bestName == "" || len(route.MatchPath) > len(best.MatchPath) {
			best, bestName = route, name
		}
	}
	return bestName, best, bestName != ""
}

// AllowsRoute tells whether the account may use the route.
func (a ClientAccount) AllowsRoute(route string) bool {
	return slices.Contains(a.Routes, route)
}

// AllowsVersion tells whether the account may use the version of the model.
func (a ClientAccount) AllowsVersion(model, version string) bool {
	return slices.Contains(a.Allowed, model) || slices.Contains(a.Allowed, JoinVersion(model, version))
}

// MayRun tells whether new work of the account may run on the version now.
func (d *Document) MayRun(account, model, version string) bool {
	a, ok := d.ClientAccounts[account]
	if !ok || !a.AllowsVersion(model, version) {
		return false
	}
	v, ok := d.Models[model].Versions[version]
	return ok && v.State != Withdrawn
}

// ServerInService tells whether operators let the backend server take new work.
func (d *Document) ServerInService(s BackendServer) bool {
	return s.State != OutOfService && d.DataCentres[s.DataCentre].State == InService
}

// HostInService tells whether operators let the host take new work.
func (d *Document) HostInService(name string) bool {
	h, ok := d.Hosts[name]
	return ok && h.State == InService && d.DataCentres[h.DataCentre].State == InService
}

// Members returns the names of all entry hosts in order.
func (d *Document) Members() []string {
	names := make([]string, 0, len(d.Hosts))
	for name := range d.Hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Majority returns how many members make a majority.
func (d *Document) Majority() int { return len(d.Hosts)/2 + 1 }
