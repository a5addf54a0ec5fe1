package cluster

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// acceptedEdit is an edit that was reported to an operator as accepted.
type acceptedEdit struct {
	doc        *tables.Document
	acceptedAt clock.Millis
}

// oracle records the accepted edits and the in-flight requests, and detects violations
// from these alone. It shares no code with the control state machine.
type oracle struct {
	accepted []acceptedEdit
	requests map[string]map[int]string // member by request ID, by server
	lastID   int
}

func newOracle() *oracle { return &oracle{requests: make(map[string]map[int]string)} }

func (o *oracle) recordAccepted(doc *tables.Document, acceptedAt clock.Millis) {
	o.accepted = append(o.accepted, acceptedEdit{doc, acceptedAt})
}

// requiredDocument returns the newest document that was accepted at least one confirm
// window ago, so that every daemon must have applied it or reject new work. It returns
// nil if there is none.
func (o *oracle) requiredDocument(now clock.Millis) *tables.Document {
	var newest *tables.Document
	for _, e := range o.accepted {
		if e.acceptedAt+confirmWindowMs <= now && (newest == nil || e.doc.Version > newest.Version) {
			newest = e.doc
		}
	}
	return newest
}

// checkDispatch returns the violation if a daemon with this document version dispatches a
// request now, or "" if it is allowed.
func (o *oracle) checkDispatch(version int64, model, modelVersion, server string, now clock.Millis) string {
	required := o.requiredDocument(now)
	if required == nil {
		return ""
	}
	if version < required.Version {
		return "dispatched under a document older than an edit accepted at least one confirmation window ago"
	}
	if version > required.Version {
		return "" // a newer edit may have reversed the required one
	}
	row := required.Models[model].Versions[modelVersion]
	if row.State == tables.Withdrawn {
		return "dispatched to a withdrawn version"
	}
	s := required.Pools["text"].Servers[server]
	if required.DataCentres[s.DataCentre].State == tables.OutOfService || s.State == tables.OutOfService {
		return "dispatched to a data centre or server that is out of service"
	}
	if len(required.ClientAccounts["smiths"].Allowed) == 0 {
		return "dispatched for a client account that may not use the model"
	}
	return ""
}

// startRequest records a request as in flight at the server and returns its ID.
func (o *oracle) startRequest(server, member string) int {
	o.lastID++
	if o.requests[server] == nil {
		o.requests[server] = make(map[int]string)
	}
	o.requests[server][o.lastID] = member
	return o.lastID
}

func (o *oracle) endRequest(server string, id int) { delete(o.requests[server], id) }

func (o *oracle) inFlight(server string) int { return len(o.requests[server]) }
