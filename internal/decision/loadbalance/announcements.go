package loadbalance

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Announcement is what a server states in a response about the requests that it wants.
type Announcement struct {
	Leaving bool         // it will exit, and gets no new requests after the drain time
	Pause   clock.Millis // it wants no requests from this daemon for this long; 0 if it states none
}

// Departure is a server that announced its exit.
type Departure struct {
	ID        string `json:"i"`
	StartedAt int64  `json:"s"` // see fleet.Server; 0 if unknown
}

const (
	// departureMargin is how long before the end of the drain time a leaving server gets
	// its last new request, which takes time to arrive.
	departureMargin = 250 * clock.Millis(1)
	// departureMemory is how long the departure of a server is remembered after the view
	// has lost the server. Its entry may return from an old copy of the table.
	departureMemory = 600_000 * clock.Millis(1)
	// returnTime is how long the load of a server grows after a pause that it asked for.
	returnTime = 2_000 * clock.Millis(1)
)

// announcement is what is known from the announcements of one start of a server.
type announcement struct {
	startedAt    int64 // 0 if unknown
	leaving      bool
	leavingSince clock.Millis
	isOwn        bool // the server announced its exit to this daemon
	paused       bool
	pausedUntil  clock.Millis
	inViewAt     clock.Millis // when the view last had the server
}

// announcements are the announcements by server ID. They outlive the entries of the
// servers, so that only a later start of a server ends them.
type announcements struct {
	drainTime clock.Millis
	servers   map[string]*announcement
}

// record returns the announcements of the server for an addition. It returns nil if they
// are from a later start of the server than the given one.
func (a *announcements) record(id string, startedAt int64, now clock.Millis) *announcement {
	n := a.servers[id]
	switch {
	case n == nil || (n.startedAt > 0 && startedAt > n.startedAt):
		n = &announcement{startedAt: startedAt, inViewAt: now}
		a.servers[id] = n
	case startedAt > 0 && startedAt < n.startedAt:
		return nil
	case n.startedAt == 0:
		n.startedAt = startedAt
	}
	return n
}

// of returns the announcements that apply to the entry; nil if there are none.
func (a *announcements) of(e *fleet.Entry) *announcement {
	n := a.servers[e.ID]
	if n == nil || (n.startedAt > 0 && e.StartedAt > n.startedAt) {
		return nil
	}
	return n
}

// setLeaving records that the server leaves. It returns false if that is known. The first
// announcement counts.
func (a *announcements) setLeaving(d Departure, isOwn bool, now clock.Millis) bool {
	n := a.record(d.ID, d.StartedAt, now)
	if n == nil {
		return false
	}
	n.isOwn = n.isOwn || isOwn
	if n.leaving {
		return false
	}
	n.leaving, n.leavingSince = true, now
	return true
}

// setPaused records that the server wants no requests until the given time. The latest
// end counts.
func (a *announcements) setPaused(e *fleet.Entry, until, now clock.Millis) {
	n := a.record(e.ID, e.StartedAt, now)
	if n == nil {
		return
	}
	if !n.paused || until > n.pausedUntil {
		n.paused, n.pausedUntil = true, until
	}
}

// isLeaving reports whether the server announced its exit.
func (n *announcement) isLeaving() bool { return n != nil && n.leaving }

// hasDeparted reports whether the server gets no new requests because it leaves.
func (a *announcements) hasDeparted(n *announcement, now clock.Millis) bool {
	margin := min(departureMargin, a.drainTime/4)
	return n.isLeaving() && now >= n.leavingSince+a.drainTime-margin
}

// isPaused reports whether the server gets no requests because it asked for a pause.
func (n *announcement) isPaused(now clock.Millis) bool {
	return n != nil && n.paused && now < n.pausedUntil
}

// returnLimit returns how many requests this daemon may have in flight at a server that
// accepts maxCalls from all of them. The limit grows after a pause. Where the daemons
// outnumber the server's slots, they return one after the other.
func (n *announcement) returnLimit(r *Request, id string, slots int, maxCalls float64) float64 {
	if n == nil || !n.paused || r.Now >= n.pausedUntil+returnTime {
		return maxCalls
	}
	hosts := max(len(r.Hosts), 1)
	spread := max(1-float64(slots)/float64(hosts), 0) * container.UnitHash(id, r.Self)
	elapsed := float64(r.Now-n.pausedUntil)/float64(returnTime) - spread
	if elapsed < 0 {
		return 0
	}
	return max(elapsed*maxCalls/float64(hosts), 1)
}

// prune forgets servers that the view lost long ago, and pauses that are over.
func (a *announcements) prune(inView func(id string) bool, now clock.Millis) {
	maps.DeleteFunc(a.servers, func(id string, n *announcement) bool {
		if inView(id) {
			n.inViewAt = now
		}
		if !n.leaving {
			return now >= n.pausedUntil+returnTime
		}
		return now-n.inViewAt > departureMemory
	})
}

// SetDrainTime sets the time after the announcement of its exit after which a server must
// get no new requests. Until it is called, a leaving server gets none.
func (b *Balancer) SetDrainTime(t clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcements.drainTime = t
}

// RecordAnnouncement records what the server states in a response to this daemon. It
// reports whether the server's exit is news.
func (b *Balancer) RecordAnnouncement(e *fleet.Entry, a Announcement, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Pause > 0 {
		b.announcements.setPaused(e, now+a.Pause, now)
	}
	return a.Leaving && b.announcements.setLeaving(Departure{ID: e.ID, StartedAt: e.StartedAt}, true, now)
}

// IsLeaving reports whether the server has announced its exit to any daemon.
func (b *Balancer) IsLeaving(e *fleet.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announcements.of(e).isLeaving()
}

// SetPeerDepartures records the servers that announced their exit to other daemons. Nothing
// that a peer reports or omits ends what is known of a server.
func (b *Balancer) SetPeerDepartures(departures []Departure, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range departures {
		b.announcements.setLeaving(d, false, now)
	}
}

// OwnDepartures returns the servers in the view that announced their exit to this daemon,
// sorted by ID.
func (b *Balancer) OwnDepartures(v *fleet.View) []Departure {
	b.mu.Lock()
	defer b.mu.Unlock()
	var departures []Departure
	for _, id := range slices.Sorted(maps.Keys(b.announcements.servers)) {
		n := b.announcements.servers[id]
		if _, known := v.Server(id); known && n.leaving && n.isOwn {
			departures = append(departures, Departure{ID: id, StartedAt: n.startedAt})
		}
	}
	return departures
}

// WithoutDeparted returns the view with the servers out of service whose drain time is
// over, whatever their entries say.
func (b *Balancer) WithoutDeparted(v *fleet.View, now clock.Millis) *fleet.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	var departed map[string]bool
	for id, n := range b.announcements.servers {
		if !b.announcements.hasDeparted(n, now) {
			continue
		}
		if e, known := v.Server(id); known && v.InService(&e) && b.announcements.of(&e) != nil {
			if departed == nil {
				departed = make(map[string]bool)
			}
			departed[id] = true
		}
	}
	if departed == nil {
		return v
	}
	return v.WithOutOfService(departed)
}

// StillAccepts reports whether the server of a choice that was made earlier still accepts
// the request: it has neither left nor asked for a pause since, and a rate limit that it
// has stated since allows the request.
func (b *Balancer) StillAccepts(c *Choice, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.announcements.of(&c.Server)
	if b.announcements.hasDeparted(n, now) || n.isPaused(now) {
		return false
	}
	if l := b.limits.of(&c.Server); l != nil && !c.usesLimitToken {
		c.usesLimitToken = b.limits.take(c.Server.ID, l, now)
		return c.usesLimitToken
	}
	return true
}

// AnnouncementCounts returns the number of servers in the view that are leaving, and of
// those that asked for a pause that isn't over.
func (b *Balancer) AnnouncementCounts(v *fleet.View, now clock.Millis) (leaving, paused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.announcements.servers {
		e, known := v.Server(id)
		if !known {
			continue
		}
		n := b.announcements.of(&e)
		if n.isLeaving() {
			leaving++
		}
		if n.isPaused(now) {
			paused++
		}
	}
	return leaving, paused
}
