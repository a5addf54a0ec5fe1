package membership

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// never is earlier than any instant of the local clock.
const never clock.Millis = -1 << 60

// View holds one daemon's observations of all members. Not safe for concurrent use.
//
// An edit is accepted once a majority of the members has adopted it, according to
// observations younger than the confirmation window. A daemon accepts requests while
// its last confirmation is younger than that window. A majority that adopts an edit and
// one that confirms an older version always share a member, so an accepted edit is in
// force on all daemons within one window.
type View struct {
	self         string
	window       clock.Millis
	startedAt    clock.Millis
	synced       bool
	confirmedAt  clock.Millis
	observations map[string]Observation
}

// NewView returns the view of a daemon that has just started.
func NewView(self string, window, now clock.Millis) *View {
	return &View{
		self:         self,
		window:       window,
		startedAt:    now,
		confirmedAt:  never,
		observations: make(map[string]Observation),
	}
}

// Synced reports whether the daemon has confirmed its configuration since its start.
func (v *View) Synced() bool { return v.synced }

// ConfirmedAt returns the last instant at which no accepted edit was newer than the
// daemon's version.
func (v *View) ConfirmedAt() clock.Millis { return v.confirmedAt }

// Observations returns all observations in unspecified order.
func (v *View) Observations() []Observation {
	list := make([]Observation, 0, len(v.observations))
	for _, o := range v.observations {
		list = append(list, o)
	}
	return list
}

// Find returns the newest observation of the member.
func (v *View) Find(member string) (Observation, bool) {
	o, ok := v.observations[member]
	return o, ok
}

// Observe records the observation if it is newer than the known one of the member.
func (v *View) Observe(o Observation) {
	if o.Member == v.self {
		return
	}
	known, ok := v.observations[o.Member]
	if ok && known.ObservedAt >= o.ObservedAt {
		return
	}
	v.observations[o.Member] = o
}

// Retain removes the observations of daemons that are not in members.
func (v *View) Retain(members []string) {
	for name := range v.observations {
		if !slices.Contains(members, name) {
			delete(v.observations, name)
		}
	}
}

// ConfirmByStore records that the table service had no version newer than the
// daemon's own when it was read. requestedAt is when the read was sent.
func (v *View) ConfirmByStore(requestedAt clock.Millis) {
	v.synced = true
	v.confirmedAt = max(v.confirmedAt, requestedAt)
}

// ConfirmByPeers confirms the daemon's version if a majority of the members has no
// newer one.
func (v *View) ConfirmByPeers(members []string, majority int, version int64, now clock.Millis) {
	instants := v.instantsUpTo(members, version)
	if !v.synced {
		v.trySync(instants, majority)
		return
	}
	if slices.Contains(members, v.self) {
		instants = append(instants, now)
	}
	v.confirmedAt = max(v.confirmedAt, nthNewest(instants, majority))
}

// trySync confirms the version of a daemon that has not synced since its start. The
// daemon itself does not count, since a restart may have lost a version that it had
// adopted. Only observations from one window after its start count: until then an
// edit may still be accepted because of what it reported before the restart.
func (v *View) trySync(instants []clock.Millis, majority int) {
	if nthNewest(instants, majority) >= v.startedAt+v.window {
		v.synced = true
		v.confirmedAt = max(v.confirmedAt, nthNewest(instants, majority))
	}
}

// instantsUpTo returns when each synced member was observed with at most the version.
func (v *View) instantsUpTo(members []string, version int64) []clock.Millis {
	var instants []clock.Millis
	for _, name := range members {
		o, ok := v.observations[name]
		if ok && o.Synced && o.Version <= version {
			instants = append(instants, o.ObservedAt)
		}
	}
	return instants
}

// nthNewest sorts the instants. It returns never if there are fewer than n.
func nthNewest(instants []clock.Millis, n int) clock.Millis {
	if n < 1 || len(instants) < n {
		return never
	}
	slices.Sort(instants)
	return instants[len(instants)-n]
}

// AdopterCount returns how many members have adopted the version, according to
// observations younger than the window. The daemon itself counts by its own version.
func (v *View) AdopterCount(members []string, own, version int64, now clock.Millis) int {
	count := 0
	for _, name := range members {
		if name == v.self && v.synced && own >= version {
			count++
			continue
		}
		o, ok := v.observations[name]
		if ok && o.Synced && o.Version >= version && now-o.ObservedAt < v.window {
			count++
		}
	}
	return count
}
