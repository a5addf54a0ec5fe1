package tables

import (
	"maps"
	"net"
	"regexp"
	"slices"
)

// Limits of the tables' fields.
const (
	maxRequestLimitMs = 3_600_000
	maxSlots          = 100_000
	maxShare          = 1_000_000
	minSecretBytes    = 16
	hashHexDigits     = 64
)

var validName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// Validate checks the fields of all rows and the references between the tables.
func (d *Document) Validate() Problems {
	v := &validation{doc: d}
	v.checkDataCentres()
	v.checkHosts()
	v.checkModels()
	v.checkPools()
	v.checkRoutes()
	v.checkAccounts()
	v.checkOperators()
	v.checkSessionKeys()
	return v.problems
}

// validation collects the problems of a document.
type validation struct {
	doc      *Document
	problems Problems
}

// sorted returns the keys in order, so that problems and differences are always listed
// in the same order.
func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (v *validation) checkName(path, name string) {
	if !validName.MatchString(name) {
		v.problems.add(path, "%q is not a valid name: use letters, digits, '.', '_' or '-', at most 64", name)
	}
}

func (v *validation) checkState(path string, state ServiceState, emptyAllowed bool) {
	if state == InService || state == OutOfService || (emptyAllowed && state == "") {
		return
	}
	v.problems.add(path, "is %q, must be \"in\" or \"out\"", state)
}

func (v *validation) checkRange(path string, value, low, high int64, unit string) {
	if value < low || value > high {
		v.problems.add(path, "is %d, must be %d to %d %s", value, low, high, unit)
	}
}

// checkAddress requires an IP address, since hosts are reached without DNS look-ups.
func (v *validation) checkAddress(path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		v.problems.add(path, "%q is not an IP address with a port", address)
	}
}

func (v *validation) checkDataCentre(path, name string) {
	if _, ok := v.doc.DataCentres[name]; !ok {
		v.problems.add(path, "data centre %q is not in data_centres", name)
	}
}

func (v *validation) checkDataCentres() {
	for _, name := range sorted(v.doc.DataCentres) {
		path := "data_centres." + name
		v.checkName(path, name)
		v.checkState(path+".state", v.doc.DataCentres[name].State, false)
	}
}

func (v *validation) checkHosts() {
	if len(v.doc.Hosts) == 0 {
		v.problems.add("hosts", "must list at least one entry host")
	}
	for _, name := range sorted(v.doc.Hosts) {
		path, h := "hosts."+name, v.doc.Hosts[name]
		v.checkName(path, name)
		v.checkAddress(path+".peer_address", h.PeerAddress)
		v.checkDataCentre(path+".data_centre", h.DataCentre)
		v.checkState(path+".state", h.State, false)
	}
}

func (v *validation) checkModels() {
	for _, name := range sorted(v.doc.Models) {
		path, m := "models."+name, v.doc.Models[name]
		v.checkName(path, name)
		for _, version := range sorted(m.Versions) {
			v.checkVersion(path+".versions."+version, version, m.Versions[version])
		}
	}
}

func (v *validation) checkVersion(path, name string, row ModelVersion) {
	v.checkName(path, name)
	if !slices.Contains([]VersionState{Canary, Active, Paused, Withdrawn}, row.State) {
		v.problems.add(path+".state", "is %q, must be canary, active, paused or withdrawn", row.State)
	}
	v.checkRange(path+".share", int64(row.Share), 0, maxShare, "parts")
	v.checkRange(path+".cost_micros_per_token", row.CostMicrosPerToken, 0, 1_000_000_000, "millionths")
}

func (v *validation) checkPools() {
	for _, name := range sorted(v.doc.Pools) {
		path, p := "pools."+name, v.doc.Pools[name]
		v.checkName(path, name)
		v.checkKind(path+".kind", p.Kind)
		for _, server := range sorted(p.Servers) {
			v.checkServer(path+".servers."+server, server, p.Kind, p.Servers[server])
		}
	}
}

func (v *validation) checkKind(path string, kind RouteKind) {
	if kind != KindModel && kind != KindApp {
		v.problems.add(path, "is %q, must be \"model\" or \"app\"", kind)
	}
}

func (v *validation) checkServer(path, name string, kind RouteKind, s BackendServer) {
	v.checkName(path, name)
	v.checkAddress(path+".address", s.Address)
	v.checkDataCentre(path+".data_centre", s.DataCentre)
	v.checkState(path+".state", s.State, true)
	v.checkRange(path+".slots", int64(s.Slots), 1, maxSlots, "requests")
	v.checkRange(path+".cold_slots", int64(s.ColdSlots), 0, int64(s.Slots), "requests")
	if kind == KindModel && len(s.Holds) == 0 {
		v.problems.add(path+".holds", "must name at least one model@version")
	}
	for _, modelVersion := range s.Holds {
		v.checkModelVersion(path+".holds", modelVersion)
	}
}

func (v *validation) checkModelVersion(path, name string) {
	model, version := SplitVersion(name)
	m, ok := v.doc.Models[model]
	if !ok {
		v.problems.add(path, "model %q is not in models", model)
		return
	}
	if _, ok := m.Versions[version]; version != "" && !ok {
		v.problems.add(path, "version %q is not in models.%s.versions", version, model)
	}
}

func (v *validation) checkRoutes() {
	routeByModel, routeByPath := map[string]string{}, map[string]string{}
	for _, name := range sorted(v.doc.Routes) {
		path, r := "routes."+name, v.doc.Routes[name]
		v.checkName(path, name)
		v.checkKind(path+".kind", r.Kind)
		v.checkRange(path+".request_limit_ms", r.RequestLimitMs, 1, maxRequestLimitMs, "ms")
		v.checkRange(path+".priority", int64(r.Priority), 0, 9, "")
		v.checkRoutePool(path, r)
		if r.Kind == KindModel {
			v.checkModelRoute(path, name, r, routeByModel)
		}
		if r.Kind == KindApp {
			v.checkAppRoute(path, name, r, routeByPath)
		}
	}
}

func (v *validation) checkRoutePool(path string, r Route) {
	p, ok := v.doc.Pools[r.Pool]
	if !ok {
		v.problems.add(path+".pool", "pool %q is not in pools", r.Pool)
		return
	}
	if p.Kind != r.Kind {
		v.problems.add(path+".pool", "pool %q is of kind %q but the route is of kind %q", r.Pool, p.Kind, r.Kind)
	}
}

func (v *validation) checkModelRoute(path, name string, r Route, routeByModel map[string]string) {
	if r.MatchModel == "" {
		v.problems.add(path+".match_model", "must not be empty")
	}
	if other, ok := routeByModel[r.MatchModel]; ok {
		v.problems.add(path+".match_model", "is already used by routes.%s", other)
	}
	routeByModel[r.MatchModel] = name
	if len(r.Tiers) == 0 {
		v.problems.add(path+".tiers", "must name at least one model")
	}
	for _, tier := range r.Tiers {
		if _, ok := v.doc.Models[tier]; !ok {
			v.problems.add(path+".tiers", "model %q is not in models", tier)
		}
	}
	if r.QualityTarget < 0 || r.QualityTarget > 1 {
		v.problems.add(path+".quality_target", "is %g, must be 0 to 1", r.QualityTarget)
	}
	if r.AtMostOnce {
		v.problems.add(path+".at_most_once", "is only for app routes")
	}
}

func (v *validation) checkAppRoute(path, name string, r Route, routeByPath map[string]string) {
	if len(r.MatchPath) == 0 || r.MatchPath[0] != '/' {
		v.problems.add(path+".match_path", "is %q, must start with /", r.MatchPath)
	}
	if other, ok := routeByPath[r.MatchPath]; ok {
		v.problems.add(path+".match_path", "is already used by routes.%s", other)
	}
	routeByPath[r.MatchPath] = name
}

func (v *validation) checkAccounts() {
	for _, name := range sorted(v.doc.ClientAccounts) {
		path, a := "client_accounts."+name, v.doc.ClientAccounts[name]
		v.checkName(path, name)
		v.checkHashes(path+".key_hashes", a.KeyHashes)
		v.checkRange(path+".weight", int64(a.Weight), 1, maxShare, "parts")
		for _, route := range a.Routes {
			if _, ok := v.doc.Routes[route]; !ok {
				v.problems.add(path+".routes", "route %q is not in routes", route)
			}
		}
		for _, allowed := range a.Allowed {
			v.checkModelVersion(path+".allowed", allowed)
		}
	}
}

func (v *validation) checkOperators() {
	if len(v.doc.Operators) == 0 {
		v.problems.add("operators", "must list at least one operator")
	}
	for _, name := range sorted(v.doc.Operators) {
		v.checkName("operators."+name, name)
		v.checkHashes("operators."+name+".key_hashes", v.doc.Operators[name].KeyHashes)
	}
}

func (v *validation) checkHashes(path string, hashes []string) {
	for _, h := range hashes {
		if len(h) != hashHexDigits {
			v.problems.add(path, "%q is not a SHA-256 in hex; use gypsumpitch hash-key", h)
		}
	}
}

func (v *validation) checkSessionKeys() {
	if len(v.doc.SessionKeys) == 0 {
		v.problems.add("session_keys", "must list at least one key")
	}
	for _, key := range v.doc.SessionKeys {
		v.checkName("session_keys."+key.ID, key.ID)
		if len(key.Secret) < minSecretBytes {
			v.problems.add("session_keys."+key.ID+".secret", "must have at least %d bytes", minSecretBytes)
		}
	}
}
