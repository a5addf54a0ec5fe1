package relay

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
)

// executionHistory is what has become of a request's attempts: which servers they reached, and
// on which the request may have run.
type executionHistory struct {
	attempts        int      // calls made to servers
	reachedServer   bool     // some call reached a server, or may have
	backendFailed   bool     // some attempt may have run and gave no usable response
	mayHaveExecuted bool     // it may have run on some server
	executions      int      // runs that gave no usable response, or whose answer was discarded
	executedOn      []string // servers on which the request ran or may have run
	notExecutedOn   []string // servers that did not run it: they refused it or could not be reached
}

// isExcluded reports whether the request must not be sent to the server again.
func (h *executionHistory) isExcluded(id string) bool {
	return (h.backendFailed && slices.Contains(h.executedOn, id)) || slices.Contains(h.notExecutedOn, id)
}

// recordExecution records that the request ran or may have run on the server.
func (h *executionHistory) recordExecution(server *fleet.Entry) {
	h.mayHaveExecuted = true
	h.executions++
	if !slices.Contains(h.executedOn, server.ID) {
		h.executedOn = append(h.executedOn, server.ID)
	}
}

// recordNotExecuted records that the server did not run the request.
func (h *executionHistory) recordNotExecuted(server *fleet.Entry) {
	h.notExecutedOn = append(h.notExecutedOn, server.ID)
}

// usedServers returns the number of servers on which the request ran or may have run, with the
// one that it still runs on; nil if there is none.
func (h *executionHistory) usedServers(running *fleet.Entry) int {
	used := len(h.executedOn)
	if running != nil && !slices.Contains(h.executedOn, running.ID) {
		used++
	}
	return used
}
