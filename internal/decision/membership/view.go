package membership

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const never clock.Millis = -1 << 60

// View is one daemon's knowledge of all members. It belongs to one goroutine.
//
// An edit is accepted once a majority of the members has adopted it, with no
// sighting older than the window. A daemon takes new work while its
// confirmation is younger than the window. Both majorities share a member, so
// an accepted edit is in force everywhere within one window.
type View struct {
	self        string
	window      clock.Millis
	started     clock.Millis
	synced      bool
	confirmedAt clock.Millis
	sightings   map[string]Observation
}

// NewView returns the view of a daemon that has just started.
func NewView(self string, window, now clock.Millis) *View {
	return &View{
		self:        self,
		window:      window,
		started:     now,
		confirmedAt: never,
		sightings:   make(map[string]Observation),
	}
}

// Synced tells whether the daemon knows the configuration since its start.
func (v *View) Synced() bool { return v.synced }

// ConfirmedAt returns the instant at which the daemon's version was last known
// to be no older than every accepted edit.
func (v *View) ConfirmedAt() clock.Millis { return v.confirmedAt }

// Observations returns all known sightings in no order.
func (v *View) Observations() []Observation {
	list := make([]Observation, 0, len(v.sightings))
	for _, s := range v.sightings {
		list = append(list, s)
	}
	return list
}

// Find returns the newest sighting of the member.
func (v *View) Find(member string) (Observation, bool) {
	s, ok := v.sightings[member]
	return s, ok
}

// Observe keeps the sighting if it is newer than what is known.
func (v *View) Observe(s Observation) {
	if s.Member == v.self {
		return
	}
	known, ok := v.sightings[s.Member]
	if ok && known.ObservedAt >= s.ObservedAt {
		return
	}
	v.sightings[s.Member] = s
}

// Retain drops sightings of those that are no longer members.
func (v *View) Retain(members []string) {
	for name := range v.sightings {
		if !slices.Contains(members, name) {
			delete(v.sightings, name)
		}
	}
}

// ConfirmByStore records that a read of the table service, asked for at that
// instant, gave no version newer than the daemon's own.
func (v *View) ConfirmByStore(askedAt clock.Millis) {
	v.synced = true
	v.confirmedAt = max(v.confirmedAt, askedAt)
}

// ConfirmByPeers confirms the daemon's version from the sightings, if a
// majority of the members has none newer.
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

// trySync leaves out the daemon itself, since it may have forgotten what it
// adopted before its start, and counts only sightings from a window after its
// start: until then an edit may still be accepted on its earlier word.
func (v *View) trySync(instants []clock.Millis, majority int) {
	if nthNewest(instants, majority) >= v.started+v.window {
		v.synced = true
		v.confirmedAt = max(v.confirmedAt, nthNewest(instants, majority))
	}
}

func (v *View) instantsUpTo(members []string, version int64) []clock.Millis {
	var instants []clock.Millis
	for _, name := range members {
		s, ok := v.sightings[name]
		if ok && s.Synced && s.Version <= version {
			instants = append(instants, s.ObservedAt)
		}
	}
	return instants
}

func nthNewest(instants []clock.Millis, n int) clock.Millis {
	if n < 1 || len(instants) < n {
		return never
	}
	slices.Sort(instants)
	return instants[len(instants)-n]
}

// AdopterCount returns how many members are known, within the window, to have
// adopted the version. The daemon itself counts by its own version.
func (v *View) AdopterCount(members []string, own, version int64, now clock.Millis) int {
	count := 0
	for _, name := range members {
		if name == v.self && v.synced && own >= version {
			count++
			continue
		}
		s, ok := v.sightings[name]
		if ok && s.Synced && s.Version >= version && now-s.ObservedAt < v.window {
			count++
		}
	}
	return count
}
