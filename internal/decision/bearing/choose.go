package bearing

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Weights of the parts of a server's cost, in slots' worth of load. A server
// that lacks a cached prompt costs more than one that is a little busier, since
// reading a long prompt delays everything that runs there.
const (
	costFar      = 0.02  // in another data centre: about a millisecond and the bytes between
	costUncached = 0.06  // for each 1,000 tokens to be read
	costRank     = 0.015 // for each place down the agreed order of a prompt's servers
	maxRank      = 8
	costFaulty   = 4.0 // for a server all of whose calls failed lately
)

// Ask is what needs a server.
type Ask struct {
	Pool       catalog.Pool
	DataCentre string // of this daemon
	Hosts      int    // that share what a cold server bears
	Model      string
	Prompt     Prompt
	Version    func(version string) bool // tells whether servers of the version may be used
	Tried      func(id string) bool      // tells whether a server is to be taken last
	Now        clock.Millis
}

// Verdict tells why there is no server.
type Verdict int

// The verdicts of a choice.
const (
	Chosen Verdict = iota
	None           // no server is in service
	Full           // those in service have no room
)

// Choose returns the server for the request and counts the request as under way
// there. Done ends that.
func (b *Book) Choose(v *fleet.View, a Ask) (fleet.Entry, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := v.Pool(a.Pool.Name)
	b.scratch = a.Prompt.Prefixes(a.Model, b.scratch[:0])
	var agreed uint64
	if len(b.scratch) > 0 {
		agreed = b.scratch[len(b.scratch)-1].Hash
	}
	best, lowest, verdict := -1, math.Inf(1), None
	for i := range entries {
		e := &entries[i]
		if !v.InService(e) || (a.Version != nil && !a.Version(e.Version)) {
			continue
		}
		s := b.state(e)
		cost, room := b.cost(s, e, &a, agreed)
		if !room {
			if verdict == None {
				verdict = Full
			}
			continue
		}
		if a.Tried != nil && a.Tried(e.ID) {
			cost += triedCost
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return fleet.Entry{}, verdict
	}
	e := entries[best]
	s := b.state(&e)
	if s.isCold(&e, &a.Pool, a.Now) {
		s.cold.take(a.Pool.ColdRate/float64(max(a.Hosts, 1)), a.Now)
	}
	s.own++
	return e, Chosen
}

const (
	triedCost   = 100
	benchedCost = 50
	// waitingShare of its slots is how many more requests a server is sent than
	// it runs at once; they are next when a slot is free.
	waitingShare = 0.5
)

// cost returns how dear the server is for the request, and whether it has room.
func (b *Book) cost(s *serverState, e *fleet.Entry, a *Ask, agreed uint64) (float64, bool) {
	slots := float64(max(s.slots, e.Slots, 1))
	load := float64(s.load(a.Now))
	if load >= slots*(1+waitingShare) {
		return 0, false
	}
	if s.isCold(e, &a.Pool, a.Now) && !s.cold.ready(a.Pool.ColdRate/float64(max(a.Hosts, 1)), a.Now) {
		return 0, false
	}
	cost := load/slots + costFaulty*s.faults(a.Now)
	if e.DataCentre != a.DataCentre {
		cost += costFar
	}
	if a.Now < s.benchUntil {
		cost += benchedCost
	}
	if len(b.scratch) > 0 {
		cost += costUncached * float64(a.Prompt.Read-s.kept(b.scratch)) / 1000
		cost += costRank * float64(rank(agreed, e.ID))
	}
	return cost, true
}

// Unread returns how many tokens of the prompt the server would have to read.
func (b *Book) Unread(e *fleet.Entry, p Prompt, model string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scratch = p.Prefixes(model, b.scratch[:0])
	return max(p.Read-b.state(e).kept(b.scratch), 0)
}

// kept returns how many tokens of the prompt the server has read before.
func (s *serverState) kept(prefixes []Prefix) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if s.cached.has(prefixes[i].Hash) {
			return prefixes[i].Tokens
		}
	}
	return 0
}

// rank is a number from 0 to maxRank on which all daemons agree for a prompt
// and a server, by which prompts that share a beginning meet at few servers.
func rank(prompt uint64, server string) int {
	return int(container.Mix(prompt, server) % (maxRank + 1))
}
