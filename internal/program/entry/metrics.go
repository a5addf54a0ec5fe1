package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/platform"
)

// registerGauges adds what the daemon believes at the moment.
func (e *Daemon) registerGauges() {
	gauge := func(name string, value func(v *fleet.View) float64) {
		e.Metrics.GetOrCreateGauge(name, func() float64 { return value(e.Keeper.View()) })
	}
	gauge("gypsumpitch_config_version", func(v *fleet.View) float64 {
		if v.Catalog == nil {
			return 0
		}
		return float64(v.Catalog.Version)
	})
	gauge("gypsumpitch_hosts", func(v *fleet.View) float64 { return float64(len(v.Hosts)) })
	gauge("gypsumpitch_servers", func(v *fleet.View) float64 { return float64(len(v.ServerIDs())) })
	gauge("gypsumpitch_servers_in_service", func(v *fleet.View) float64 {
		n := 0
		for _, id := range v.ServerIDs() {
			if s, ok := v.Server(id); ok && v.InService(&s) {
				n++
			}
		}
		return float64(n)
	})
	gauge("gypsumpitch_data_centres_out", func(v *fleet.View) float64 { return float64(len(v.Evacuated)) })
	gauge("gypsumpitch_store_in_touch", func(*fleet.View) float64 {
		if e.Keeper.IsCurrent() {
			return 1
		}
		return 0
	})
	gauge("gypsumpitch_relay_open_requests", func(*fleet.View) float64 { return float64(e.Relay.InFlight()) })
	gauge("gypsumpitch_server_calls_own", func(*fleet.View) float64 {
		n := 0
		for _, load := range e.Balancer.OwnLoads() {
			n += load.Calls
		}
		return float64(n)
	})
	gauge("gypsumpitch_server_calls_others", func(*fleet.View) float64 {
		n := 0
		for _, load := range e.PeerStats.PeerLoads() {
			n += load.Calls
		}
		return float64(n)
	})
	e.Metrics.GetOrCreateGauge("gypsumpitch_feed_heard_from_leader", func() float64 { return float64(e.Feed.LeaderResponses()) })
	for _, call := range platform.StoreCallKinds() {
		e.Metrics.GetOrCreateGauge(`gypsumpitch_store_calls{call="`+call+`"}`, func() float64 { return float64(e.Store.CallCount(call)) })
		e.Metrics.GetOrCreateGauge(`gypsumpitch_store_failures{call="`+call+`"}`, func() float64 { return float64(e.Store.FailureCount(call)) })
	}
}

// metricsServer serves the metrics as text.
func (e *Daemon) metricsServer() *http.Server {
	return &http.Server{
		ReadHeaderTimeout: balancerLimit,
		WriteTimeout:      metricsLimit,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/metrics") {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			e.Metrics.WritePrometheus(w)
			metrics.WriteProcessMetrics(w)
		}),
	}
}

// metricsLimit bounds one answer with metrics.
const metricsLimit = 5 * time.Second
