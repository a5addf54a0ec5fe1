package cluster

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// acceptedEdit is an edit that an operator was told is accepted.
type acceptedEdit struct {
	doc *tables.Document
	at  clock.Millis
}

// oracle knows what operators were told and which requests were handed over,
// and says what must not have happened. It shares no code with the cores.
type oracle struct {
	accepted []acceptedEdit
	running  map[string]map[int]string // server to its requests' members
	nextID   int
}

func newOracle() *oracle { return &oracle{running: make(map[string]map[int]string)} }

func (o *oracle) accept(doc *tables.Document, at clock.Millis) {
	o.accepted = append(o.accepted, acceptedEdit{doc, at})
}

// floor is the newest edit that must be in force everywhere at that instant.
func (o *oracle) floor(now clock.Millis) *tables.Document {
	var newest *tables.Document
	for _, e := range o.accepted {
		if e.at+window <= now && (newest == nil || e.doc.Version > newest.Version) {
			newest = e.doc
		}
	}
	return newest
}

// judgeHandOver returns what is wrong with handing a request over now.
func (o *oracle) judgeHandOver(version int64, model, modelVersion, server string, now clock.Millis) string {
	floor := o.floor(now)
	if floor == nil {
		return ""
	}
	if version < floor.Version {
		return "handed over under an older configuration than an edit accepted a window ago"
	}
	if version > floor.Version {
		return "" // a newer edit decides; it may have brought things back
	}
	row := floor.Models[model].Versions[modelVersion]
	if row.State == tables.Withdrawn {
		return "ran on a withdrawn version"
	}
	s := floor.Pools["text"].Servers[server]
	if floor.DataCentres[s.DataCentre].State == tables.OutOfService || s.State == tables.OutOfService {
		return "ran in a data centre or on a server that is out"
	}
	if len(floor.ClientAccounts["smiths"].Allowed) == 0 {
		return "ran for an account that may not use the model"
	}
	return ""
}

// begin notes a request at a server and returns its number.
func (o *oracle) begin(server, member string) int {
	o.nextID++
	if o.running[server] == nil {
		o.running[server] = make(map[int]string)
	}
	o.running[server][o.nextID] = member
	return o.nextID
}

func (o *oracle) end(server string, id int) { delete(o.running[server], id) }

func (o *oracle) load(server string) int { return len(o.running[server]) }
