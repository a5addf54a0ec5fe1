// Package conngroups sets up the budget of a daemon's connections, and shows in logs and metrics
// which are refused and why.
package conngroups

import (
	"fmt"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/logging"
)

const (
	bytesPerMB = 1 << 20
	// answerMemoryDivisor gives the memory for Groups.Answers as a part of the host's.
	answerMemoryDivisor = 8
)

// Groups are the connections to a daemon by listener, with the budget for all of them. A daemon
// has some of the listeners.
type Groups struct {
	Budget    *admission.ConnBudget
	Callers   *admission.ConnGroup
	Peers     *admission.ConnGroup
	Readiness *admission.ConnGroup
	Metrics   *admission.ConnGroup
	Operators *admission.ConnGroup
	// Answers bounds the large answers of other daemons and of the platform's services while they
	// are read. It is a part of the budget.
	Answers *admission.MemoryBudget

	log   hclog.Logger
	clock clock.Clock
	set   *metrics.Set
	limit logging.Limit
}

// New returns groups for a host with the memory and file descriptors. See SetLimits.
func New(log hclog.Logger, c clock.Clock, set *metrics.Set, memoryMB, maxFiles int64) *Groups {
	b := admission.NewConnBudget(0)
	g := &Groups{
		Budget: b, Callers: b.NewGroup("callers", 0, true), Peers: b.NewGroup("peers", 0, false),
		Readiness: b.NewGroup("readiness", 0, false), Metrics: b.NewGroup("metrics", 0, false),
		Operators: b.NewGroup("operators", 0, true), Answers: &admission.MemoryBudget{}, log: log, clock: c, set: set,
	}
	g.Answers.SetParent(b)
	b.OnRefused = g.recordRefusal
	g.SetLimits(memoryMB, maxFiles)
	set.GetOrCreateGauge("gypsumpitch_connections_held_bytes", func() float64 { return float64(b.Used()) })
	for _, group := range []*admission.ConnGroup{g.Callers, g.Peers, g.Readiness, g.Metrics, g.Operators} {
		set.GetOrCreateGauge(fmt.Sprintf(`gypsumpitch_connections{listener=%q}`, group.Listener()), func() float64 { return float64(group.Count()) })
	}
	return g
}

// SetLimits sets the limits for a host with the memory in MB, 0 for no limit, and the file
// descriptors, 0 for those that the process may have.
func (g *Groups) SetLimits(memoryMB, maxFiles int64) {
	g.Budget.SetLimit(admission.ConnMemory(memoryMB * bytesPerMB))
	g.Answers.SetLimit(memoryMB * bytesPerMB / answerMemoryDivisor)
	limits := admission.DivideFiles(processFiles(maxFiles))
	g.Callers.SetMax(limits.Callers)
	g.Peers.SetMax(limits.Peers)
	for _, group := range []*admission.ConnGroup{g.Readiness, g.Metrics, g.Operators} {
		group.SetMax(limits.Checks)
	}
}

// processFiles returns the file descriptors that both the host and the process allow; 0 if neither
// states a limit.
func processFiles(hostFiles int64) int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxProcessFiles {
		return hostFiles
	}
	if hostFiles <= 0 {
		return int64(limit.Cur)
	}
	return min(hostFiles, int64(limit.Cur))
}

// maxProcessFiles is the limit of a process from which on it counts as none.
const maxProcessFiles = 1 << 30

// recordRefusal counts a refusal and logs one a second.
func (g *Groups) recordRefusal(r admission.Refusal) {
	g.set.GetOrCreateCounter(fmt.Sprintf(`gypsumpitch_connections_refused_total{listener=%q,reason=%q}`, r.Listener, string(r.Reason))).Inc()
	if ok, suppressed := g.limit.Allow(g.clock.Now()); ok {
		g.log.Warn("connection refused", "listener", r.Listener, "reason", string(r.Reason), "phase", string(r.Phase),
			"held_bytes", r.Bytes, "stalled_ms", int64(r.Stalled), "all_held_bytes", g.Budget.Used(), "suppressed", suppressed)
	}
}
