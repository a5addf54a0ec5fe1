package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/platform/hostlist"
)

// HostList is a stand-in for the platform's host list, which shows changes after a lag.
type HostList struct {
	faults *FaultInjector
	mu     sync.Mutex
	hosts  map[string]hostEntry
}

type hostEntry struct {
	leaving   bool
	changedAt time.Time
}

// NewHostList returns an empty list.
func NewHostList(faults *FaultInjector) *HostList {
	return &HostList{faults: faults, hosts: make(map[string]hostEntry)}
}

// Handler serves GET and POST /v1/hosts. Until LagMs after a post, the host is listed with
// the opposite of the posted state.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.list()) })
	mux.HandleFunc("POST /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		var host hostlist.Host
		if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.hosts[host.Address] = hostEntry{host.Leaving, time.Now()}
	})
	return h.faults.Wrap(mux)
}

func (h *HostList) list() []hostlist.Host {
	lag := time.Duration(h.faults.Get().LagMs) * time.Millisecond
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := []hostlist.Host{}
	for address, entry := range h.hosts {
		leaving := entry.leaving
		if time.Since(entry.changedAt) < lag {
			leaving = !leaving
		}
		hosts = append(hosts, hostlist.Host{Address: address, Leaving: leaving})
	}
	return hosts
}
