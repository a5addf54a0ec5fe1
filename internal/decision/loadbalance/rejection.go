package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// rejectedLoad is the load, as a multiple of the slots, at which a server counts that has just
// rejected work: at least the most that any server is sent.
const rejectedLoad = 1 + engineQueue

// rejection is the last time that a server rejected work for lack of capacity.
type rejection struct {
	at    clock.Millis // 0 if there was none, or the server has reported its load since
	calls float64      // of the other daemons that explain it
}

// callsAt returns the requests of the other daemons that the rejection suggests. They hold
// until the daemons' next reports show the true load, and then decline until a report would
// expire.
//
// Load pattern: a server is full, and the reports that show it as free are 0.4 s old. Were
// its whole capacity back with the next report, all daemons would return at once.
func (r rejection) callsAt(now clock.Millis) int {
	age := now - r.at
	if r.at == 0 || age >= reportLifetime {
		return 0
	}
	left := min(float64(reportLifetime-age)/float64(reportLifetime-freshReport), 1)
	return int(left * r.calls)
}

// reject records a rejection by a server with the slots.
func (s *serverState) reject(slots int, now clock.Millis) {
	s.rejection = rejection{at: now, calls: max(rejectedLoad*float64(slots)-float64(s.own.Calls), 0)}
}
