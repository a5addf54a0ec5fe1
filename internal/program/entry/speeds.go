package entry

import (
	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// refreshSpeeds passes what this daemon and its peers know of the speeds of servers, and of
// the demand for shared prompts, between the balancer and the aggregator.
func refreshSpeeds(stats *peerstats.Aggregator, balancer *loadbalance.Balancer, now clock.Millis) {
	stats.SetOwnSpeeds(balancer.OwnSpeeds(now))
	stats.SetOwnPrefixes(balancer.OwnPrefixes(now))
	balancer.SetPeerSpeeds(stats.PeerSpeeds(), now)
	prefixes, heard := stats.PeerPrefixes()
	balancer.SetPeerPrefixes(prefixes, heard, now)
}

// registerSpeedGauges registers gauges of the known speeds of servers. They are summed up
// over the servers, so their number is fixed.
func (d *Daemon) registerSpeedGauges() {
	gauge := func(name string, value func(s loadbalance.SpeedSummary) float64) {
		d.Metrics.GetOrCreateGauge(name, func() float64 { return value(d.Balancer.SpeedSummary(d.Clock.Now())) })
	}
	gauge("gypsumpitch_uneven_pools", func(s loadbalance.SpeedSummary) float64 { return float64(s.UnevenPools) })
	gauge(`gypsumpitch_server_speeds_known{source="own"}`, func(s loadbalance.SpeedSummary) float64 { return float64(s.Own) })
	gauge(`gypsumpitch_server_speeds_known{source="peers"}`, func(s loadbalance.SpeedSummary) float64 { return float64(s.Peers) })
	gauge("gypsumpitch_server_speed_lowest", func(s loadbalance.SpeedSummary) float64 { return s.Lowest })
	gauge("gypsumpitch_server_speed_highest", func(s loadbalance.SpeedSummary) float64 { return s.Highest })
	gauge(`gypsumpitch_server_paces_known{source="own"}`, func(s loadbalance.SpeedSummary) float64 { return float64(s.Paces - s.PeerPaces) })
	gauge(`gypsumpitch_server_paces_known{source="peers"}`, func(s loadbalance.SpeedSummary) float64 { return float64(s.PeerPaces) })
	gauge("gypsumpitch_server_paces_slow", func(s loadbalance.SpeedSummary) float64 { return float64(s.SlowPaces) })
	gauge("gypsumpitch_server_pace_oldest_seconds", func(s loadbalance.SpeedSummary) float64 {
		return s.OldestPace.Duration().Seconds()
	})
}
