package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/platform"
)

// recordDropped logs and counts a request of a caller that ended before it was handled.
func (d *Daemon) recordDropped(age time.Duration) {
	d.Log.Info("request dropped", "age_ms", age.Milliseconds())
	d.Metrics.GetOrCreateCounter("gypsumpitch_caller_requests_dropped_total").Inc()
}

// registerGauges registers gauges of the daemon's view and of its components.
func (d *Daemon) registerGauges() {
	gauge := func(name string, value func(v *fleet.View) float64) {
		d.Metrics.GetOrCreateGauge(name, func() float64 { return value(d.ViewState.View()) })
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
		if d.ViewState.IsCurrent() {
			return 1
		}
		return 0
	})
	gauge("gypsumpitch_relay_open_requests", func(*fleet.View) float64 { return float64(d.Relay.InFlight()) })
	gauge("gypsumpitch_servers_leaving", func(v *fleet.View) float64 {
		leaving, _ := d.Balancer.AnnouncementCounts(v, d.Clock.Now())
		return float64(leaving)
	})
	gauge("gypsumpitch_servers_paused", func(v *fleet.View) float64 {
		_, paused := d.Balancer.AnnouncementCounts(v, d.Clock.Now())
		return float64(paused)
	})
	gauge("gypsumpitch_servers_limited", func(v *fleet.View) float64 { return float64(d.Balancer.LimitedServers(v)) })
	d.registerSpeedGauges()
	quarantined := func(isRequest bool) func(*fleet.View) float64 {
		return func(*fleet.View) float64 {
			n := 0
			active, _ := d.Quarantine.Records()
			for part := range active {
				if part.IsRequest() == isRequest {
					n++
				}
			}
			return float64(n)
		}
	}
	gauge("gypsumpitch_prompt_segments_quarantined", quarantined(false))
	gauge("gypsumpitch_requests_quarantined", quarantined(true))
	gauge("gypsumpitch_server_calls_own", func(*fleet.View) float64 {
		n := 0
		for _, load := range d.Balancer.OwnLoads() {
			n += load.Calls
		}
		return float64(n)
	})
	gauge("gypsumpitch_server_calls_others", func(*fleet.View) float64 {
		n := 0
		for _, load := range d.PeerStats.PeerLoads() {
			n += load.Calls
		}
		return float64(n)
	})
	d.Metrics.GetOrCreateGauge("gypsumpitch_feed_heard_from_leader", func() float64 { return float64(d.PeerFeed.LeaderResponses()) })
	for _, call := range platform.StoreCallKinds() {
		d.Metrics.GetOrCreateGauge(`gypsumpitch_store_calls{call="`+call+`"}`, func() float64 { return float64(d.Store.CallCount(call)) })
		d.Metrics.GetOrCreateGauge(`gypsumpitch_store_failures{call="`+call+`"}`, func() float64 { return float64(d.Store.FailureCount(call)) })
	}
	d.Metrics.GetOrCreateGauge("gypsumpitch_store_epoch", func() float64 { return float64(d.Store.Epoch()) })
	for _, kind := range platform.StoreEpochKinds() {
		d.Metrics.GetOrCreateGauge(`gypsumpitch_store_epoch_responses{kind="`+kind+`"}`, func() float64 { return float64(d.Store.EpochCount(kind)) })
	}
}

// updateTokenMemory updates the gauges of the token memory of each pool.
func (d *Daemon) updateTokenMemory() {
	v := d.ViewState.View()
	if v.Catalog == nil {
		return
	}
	for _, pool := range v.Catalog.Pools() {
		if highest, mean, ok := d.Balancer.TokenMemoryUse(v, pool); ok {
			d.Relay.Metrics.SetTokenMemory(pool.Name, highest, mean)
		}
	}
}

// metricsHandler serves the metrics in the Prometheus text format.
func (d *Daemon) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Fails only with test recorders, which have no deadlines.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(metricsWriteTimeout))
		if !strings.HasPrefix(r.URL.Path, "/metrics") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		d.updateTokenMemory()
		d.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

const metricsWriteTimeout = 5 * time.Second
