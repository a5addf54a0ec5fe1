package rolloutcontrol

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
)

// Metrics exports why roll-outs go on or end. The series are bounded by the pools of the
// configuration.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics in the set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

// observe sets the gauges of the pool's roll-out.
func (m *Metrics) observe(pool string, state *rolloutState, allowed float64) {
	set := func(name string, value float64) {
		m.set.GetOrCreateGauge(fmt.Sprintf("gypsumpitch_rollout_%s{pool=%q}", name, pool), nil).Set(value)
	}
	set("risk", state.risk.Expected)
	set("requests", float64(state.traffic.All))
	set("canary_requests", float64(state.traffic.Canary))
	set("canary_allowed", allowed)
	set("verdict", float64(state.verdict))
}

// countVerdict counts a verdict of this daemon.
func (m *Metrics) countVerdict(pool string, v rollout.Verdict, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumpitch_rollout_verdicts_total{pool=%q,verdict=%q,reason=%q}", pool, v.String(), reason)).Inc()
}

// countStage counts a stage that this daemon recorded.
func (m *Metrics) countStage(pool string, stage fleet.Stage, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumpitch_rollout_stages_total{pool=%q,stage=%q,reason=%q}", pool, stage.String(), reason)).Inc()
}
