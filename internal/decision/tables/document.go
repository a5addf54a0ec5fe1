// Package tables defines the operators' configuration: routes, pools, models, accounts
// and hosts, held together in one immutable, versioned document. It serves
// program/daemon; the configuration of program/entry is in package catalog.
package tables

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Document is one version of the whole configuration. A published document is immutable
// and shared between goroutines; the With methods return modified copies. Version 0 stands
// for the empty document in force before the first one is received.
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

// HashKey returns the SHA-256 of a caller's or operator's key in hex, the form in which
// the tables store keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// JoinVersion returns the full name of a model version, "model@version".
func JoinVersion(model, version string) string { return model + "@" + version }

// SplitVersion is the inverse of JoinVersion. The version is empty if the name has no "@".
func SplitVersion(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "@")
	return model, version
}

// WithEdit returns a copy with the version that follows before and the given edit ID.
// ChangedIn is set to the new version for each model version that differs from before.
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

// WithDataCentreState returns a copy in which the data centre has the given state.
func (d *Document) WithDataCentreState(name string, state ServiceState) *Document {
	c := *d
	c.DataCentres = maps.Clone(d.DataCentres)
	row := c.DataCentres[name]
	row.State = state
	c.DataCentres[name] = row
	return &c
}

// WithHostState returns a copy in which the host has the given state.
func (d *Document) WithHostState(name string, state ServiceState) *Document {
	c := *d
	c.Hosts = maps.Clone(d.Hosts)
	row := c.Hosts[name]
	row.State = state
	c.Hosts[name] = row
	return &c
}

// WithServerState returns a copy in which the backend server has the given state.
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

// WithVersion returns a copy in which the model version is replaced by row.
func (d *Document) WithVersion(model, version string, row ModelVersion) *Document {
	c := *d
	c.Models = maps.Clone(d.Models)
	m := c.Models[model]
	m.Versions = maps.Clone(m.Versions)
	m.Versions[version] = row
	c.Models[model] = m
	return &c
}

// AccountByKey returns the name and the row of the client account that has the key.
func (d *Document) AccountByKey(key string) (string, ClientAccount, bool) {
	hash := HashKey(key)
	for name, account := range d.ClientAccounts {
		if slices.Contains(account.KeyHashes, hash) {
			return name, account, true
		}
	}
	return "", ClientAccount{}, false
}

// OperatorByKey returns the name of the operator that has the key.
func (d *Document) OperatorByKey(key string) (string, bool) {
	hash := HashKey(key)
	for name, operator := range d.Operators {
		if slices.Contains(operator.KeyHashes, hash) {
			return name, true
		}
	}
	return "", false
}

// RouteForModel returns the name and the row of the route that matches the model name in
// a caller's request.
func (d *Document) RouteForModel(model string) (string, Route, bool) {
	for name, route := range d.Routes {
		if route.Kind == KindModel && route.MatchModel == model {
			return name, route, true
		}
	}
	return "", Route{}, false
}

// RouteForPath returns the name and the row of the app route whose path prefix is the
// longest that matches.
func (d *Document) RouteForPath(path string) (string, Route, bool) {
	longest, longestName := Route{}, ""
	for name, route := range d.Routes {
		if route.Kind != KindApp || !strings.HasPrefix(path, route.MatchPath) {
			continue
		}
		if longestName == "" || len(route.MatchPath) > len(longest.MatchPath) {
			longest, longestName = route, name
		}
	}
	return longestName, longest, longestName != ""
}

// AllowsRoute reports whether the account may use the route.
func (a ClientAccount) AllowsRoute(route string) bool {
	return slices.Contains(a.Routes, route)
}

// AllowsVersion reports whether the account may use the model version, either by the
// version's full name or by the name of the model.
func (a ClientAccount) AllowsVersion(model, version string) bool {
	return slices.Contains(a.Allowed, model) || slices.Contains(a.Allowed, JoinVersion(model, version))
}

// MayRun reports whether the account may start new work on the model version: its
// permissions cover the version, which must not be withdrawn.
func (d *Document) MayRun(account, model, version string) bool {
	a, ok := d.ClientAccounts[account]
	if !ok || !a.AllowsVersion(model, version) {
		return false
	}
	v, ok := d.Models[model].Versions[version]
	return ok && v.State != Withdrawn
}

// ServerInService reports whether neither the backend server nor its data centre is out
// of service.
func (d *Document) ServerInService(s BackendServer) bool {
	return s.State != OutOfService && d.DataCentres[s.DataCentre].State == InService
}

// HostInService reports whether the host is known and neither it nor its data centre is
// out of service.
func (d *Document) HostInService(name string) bool {
	h, ok := d.Hosts[name]
	return ok && h.State == InService && d.DataCentres[h.DataCentre].State == InService
}

// Members returns the sorted names of all entry hosts, whatever their state.
func (d *Document) Members() []string {
	names := make([]string, 0, len(d.Hosts))
	for name := range d.Hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Majority returns the smallest number of members that is a majority.
func (d *Document) Majority() int { return len(d.Hosts)/2 + 1 }
