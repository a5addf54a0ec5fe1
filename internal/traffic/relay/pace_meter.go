package relay

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// minPauses and maxPauses bound the pauses from which a pace is derived. The first
	// pauses of a stream suffice.
	minPauses = 2
	maxPauses = 8
)

// paceMeter measures how fast a server generates a stream, and reports it once.
type paceMeter struct {
	report    func(pace clock.Millis)
	lastEvent clock.Millis
	started   bool
	reported  bool
	pauses    []clock.Millis // between the first events
}

// recordEvent records the arrival of an event.
func (m *paceMeter) recordEvent(now clock.Millis) {
	if m.started && !m.reported {
		m.pauses = append(m.pauses, now-m.lastEvent)
	}
	m.started, m.lastEvent = true, now
	if len(m.pauses) == maxPauses {
		m.finish()
	}
}

// finish reports the pace of a stream that has enough events: the lower quartile of the
// pauses, which leaves out those in which the server prefilled other prompts.
func (m *paceMeter) finish() {
	if m.reported || len(m.pauses) < minPauses {
		return
	}
	m.reported = true
	sorted := slices.Sorted(slices.Values(m.pauses))
	m.report(sorted[(len(sorted)-1)/4])
}

// end is finish for a stream of which nothing more is to be measured.
func (m *paceMeter) end() {
	m.finish()
	m.reported = true
}

// recordPace reports the pace of a stream as evidence about the server's version. A cold
// server is slow whatever its version.
func (ex *exchange) recordPace(server *fleet.Entry, info ResponseInfo, pace clock.Millis) {
	if info.ColdRemaining > 0 || !info.HasLoad {
		return
	}
	ex.relay.VersionRouter.RecordPace(ex.view, server, ex.model, info.Running+info.Waiting, pace)
}
