package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
)

const minPeerKeyBytes = 16

// Check returns one line of text for each invalid field, which starts with its path.
func (s Settings) Check() []string {
	var problems []string
	report := func(path, format string, args ...any) {
		problems = append(problems, path+": "+fmt.Sprintf(format, args...))
	}
	if s.Host == "" {
		report("host", "must not be empty")
	}
	if s.DataCentre == "" {
		report("data_centre", "must not be empty")
	}
	if s.Entry.Store != "" {
		s.checkEntry(report)
	} else {
		s.checkListen(report)
		s.checkPlatform(report)
	}
	for _, seed := range s.Peer.Seeds {
		if host, _, err := net.SplitHostPort(seed); err != nil || net.ParseIP(host) == nil {
			report("peer.seeds", "%q is not an IP address with a port", seed)
		}
	}
	checkRanges(s, report)
	if s.Control.PullMs*2 > s.Control.ConfirmWindowMs {
		report("control.confirm_window_ms", "is %d, must be at least twice control.pull_ms, %d ms", s.Control.ConfirmWindowMs, 2*s.Control.PullMs)
	}
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		report("tls", "cert_file and key_file must be given together")
	}
	if !slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, s.Log.Level) {
		report("log.level", "is %q, must be trace, debug, info, warn or error", s.Log.Level)
	}
	return problems
}

func (s Settings) checkListen(report func(path, format string, args ...any)) {
	listeners := []struct{ path, address string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.operator", s.Listen.Operator},
		{"listen.peer", s.Listen.Peer},
	}
	for _, l := range listeners {
		host, _, err := net.SplitHostPort(l.address)
		ip := net.ParseIP(host)
		if err != nil || ip == nil {
			report(l.path, "%q is not an IP address with a port", l.address)
			continue
		}
		if !ip.IsLoopback() {
			s.checkExposed(l.path, report)
		}
	}
}

// checkExposed requires a peer key and TLS, since the listener at path is reachable
// from other machines.
func (s Settings) checkExposed(path string, report func(path, format string, args ...any)) {
	if len(s.Peer.Key) < minPeerKeyBytes {
		report("peer.key", "must have at least %d bytes, since %s is not a loopback address", minPeerKeyBytes, path)
	}
	if s.TLS.CertFile == "" {
		report("tls.cert_file", "must be given, since %s is not a loopback address", path)
	}
}

func (s Settings) checkPlatform(report func(path, format string, args ...any)) {
	urls := []struct{ path, text string }{
		{"platform.table_service", s.Platform.TableService},
		{"platform.object_store", s.Platform.ObjectStore},
		{"platform.host_list", s.Platform.HostList},
		{"platform.rating", s.Platform.Rating},
	}
	for _, u := range urls {
		parsed, err := url.Parse(u.text)
		if err != nil || !strings.HasPrefix(parsed.Scheme, "http") || parsed.Host == "" {
			report(u.path, "%q is not an http or https URL", u.text)
		}
	}
}

func (s Settings) checkEntry(report func(path, format string, args ...any)) {
	addresses := []struct{ path, address string }{
		{"entry.caller", s.Entry.Caller},
		{"entry.ready", s.Entry.Ready},
		{"entry.store", s.Entry.Store},
	}
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a.address); err != nil || net.ParseIP(host) == nil {
			report(a.path, "%q is not an IP address with a port", a.address)
		}
	}
	for _, f := range []struct{ path, value string }{
		{"entry.shared_capacity", s.Entry.SharedCapacity},
		{"entry.uneven_servers", s.Entry.UnevenServers},
	} {
		if !slices.Contains([]string{"auto", "on", "off"}, f.value) {
			report(f.path, "is %q, must be auto, on or off", f.value)
		}
	}
	ranges := []struct {
		path           string
		value, highest float64
	}{
		{"entry.repeat_ratio", s.Entry.RepeatRatio, 100},
		{"entry.repeat_slack", s.Entry.RepeatSlack, 1e9},
		{"entry.repeat_window_s", s.Entry.RepeatWindowS, 3600},
		{"entry.stop_s", s.Entry.StopS, 3600},
		{"entry.session_s", s.Entry.SessionS, 86400},
		{"entry.exposed_share", s.Entry.ExposedShare, 1},
		{"entry.exposed_slack", s.Entry.ExposedSlack, 1e9},
	}
	for _, f := range ranges {
		if f.value < 0 || f.value > f.highest {
			report(f.path, "is %g, must be 0 to %g", f.value, f.highest)
		}
	}
}
