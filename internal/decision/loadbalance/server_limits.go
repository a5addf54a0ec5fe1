package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// LimitKind is how a server's statement of its rate limit was understood.
type LimitKind string

// The kinds of limits. A response of one of the last two kinds changes nothing.
const (
	NoLimit        LimitKind = "none"     // the server states none
	ValidLimit     LimitKind = "valid"    // a positive number
	RaisedLimit    LimitKind = "raised"   // zero or below minLimit, taken as minLimit
	RepeatedLimit  LimitKind = "repeated" // several numbers; the lowest counts
	EndlessLimit   LimitKind = "endless"  // infinite, taken as none
	MalformedLimit LimitKind = "malformed"
	UnknownLimit   LimitKind = "" // the response may not be the server's
)

// Limit is the rate limit that a server states in a response. It applies to the requests
// of all daemons together.
type Limit struct {
	Kind      LimitKind
	PerSecond float64 // 0 unless the server is limited
}

// MinLimit is the lowest rate that is used. A limited server must get a request from time
// to time: only its response shows that the limit has ended.
const MinLimit = 0.05

// serverLimit is what is known of the rate limit of one start of a server.
type serverLimit struct {
	startedAt int64
	perSecond float64 // 0 if the server states no limit
	kind      LimitKind
}

// RecordLimit records the limit that a server states in a response to this daemon. It
// reports whether the statement is news.
func (b *Balancer) RecordLimit(e *fleet.Entry, l Limit, _ clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.limits[e.ID]
	if current == nil || current.startedAt != e.StartedAt {
		if l.Kind == UnknownLimit || l.Kind == NoLimit {
			return false
		}
		current = &serverLimit{startedAt: e.StartedAt, kind: NoLimit}
		b.limits[e.ID] = current
	}
	if l.Kind == UnknownLimit || l.Kind == current.kind && (l.Kind == MalformedLimit || l.PerSecond == current.perSecond) {
		return false
	}
	current.kind = l.Kind
	if l.Kind != MalformedLimit {
		current.perSecond = l.PerSecond
	}
	return true
}
