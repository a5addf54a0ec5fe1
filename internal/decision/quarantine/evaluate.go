package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Reasons of a Change.
const (
	ReasonCrashes     = "crashes"      // servers crashed that answered requests with the segment
	ReasonStore       = "store"        // another daemon recorded it, or released it, in the store
	ReasonTrialFailed = "trial_failed" // the request on trial crashed a server
	ReasonSound       = "sound"        // a server answered a request with the segment
	ReasonExplained   = "explained"    // another segment explains the crashes
	ReasonExpired     = "expired"      // no request has come for long
)

// evaluate brings the quarantined segments up to date with the evidence. t.mu must be held.
func (t *Tracker) evaluate(now clock.Millis) []Change {
	crashes := t.joined(now)
	sound := t.joinedSound(crashes, now)
	found := Find(crashes, sound)
	var changes []Change
	set := func(segment Part, q Quarantine, reason string) {
		t.active[segment] = q
		changes = append(changes, Change{segment, true, q, crashCount(crashes, segment), reason})
	}
	for _, segment := range found {
		if _, ok := t.active[segment]; !ok && crashedRecently(crashes, segment) {
			delete(t.released, segment)
			set(segment, Quarantine{now, minHold}, ReasonCrashes)
		}
	}
	for segment, q := range t.evidence.Stored {
		q.Since = min(q.Since, now)
		releasedAt, released := t.released[segment]
		old, known := t.active[segment]
		switch {
		case now >= q.TrialAt()+expiry, released && q.Since <= releasedAt:
		case !known:
			set(segment, q, ReasonStore)
		case q.Hold > old.Hold:
			set(segment, q, ReasonStore)
		}
	}
	for _, segment := range slices.SortedFunc(maps.Keys(t.active), comparePart) {
		q := t.active[segment]
		if trialFailed(crashes, segment, q, now) {
			set(segment, Quarantine{now, min(2*q.Hold, maxHold)}, ReasonTrialFailed)
			continue
		}
		if reason := t.endReason(segment, q, crashes, sound, found, now); reason != "" {
			t.release(segment, now)
			changes = append(changes, Change{segment, false, q, crashCount(crashes, segment), reason})
		}
		_, stored := t.evidence.Stored[segment]
		t.inStore[segment] = stored
	}
	changes = append(changes, t.limit(now)...)
	maps.DeleteFunc(t.inStore, func(segment Part, _ bool) bool {
		_, ok := t.active[segment]
		return !ok
	})
	if len(changes) > 0 {
		blocked := maps.Clone(t.active)
		t.blocked.Store(&blocked)
		t.cancelBlocked()
	}
	return changes
}

// endReason returns why the quarantine of the segment ends; empty if it goes on.
func (t *Tracker) endReason(segment Part, q Quarantine, crashes []Crash, sound map[Part]SoundRuns, found []Part, now clock.Millis) string {
	s, isSound := sound[segment]
	_, stored := t.evidence.Stored[segment]
	switch {
	case isSound && now-s.Age > q.TrialAt():
		return ReasonSound // of the trial, which no crash followed
	case slices.Contains(found, segment):
	case isSound && now < q.Since+settleTime:
		return ReasonSound
	case isSound && now-s.Age > q.Since:
		return ReasonSound
	case explained(crashes, segment, found):
		return ReasonExplained
	case t.inStore[segment] && !stored:
		return ReasonStore
	case now >= q.TrialAt()+expiry:
		return ReasonExpired
	}
	return ""
}

// settleTime is how long the reports of sound runs from before a quarantine may take.
const settleTime = 5_000 * clock.Millis(1)

// crashedRecently reports whether a crash with the segment is younger than settleTime.
func crashedRecently(crashes []Crash, segment Part) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.Age < settleTime && c.has(segment) })
}

// explained reports whether the crashes with the segment have been found to have other
// causes, all but a few that would not suffice for a quarantine.
func explained(crashes []Crash, segment Part, found []Part) bool {
	others, own := 0, 0
	for _, c := range crashes {
		switch {
		case !c.has(segment):
		case slices.ContainsFunc(found, c.has):
			others++
		default:
			own++
		}
	}
	return others >= minCrashes && own < minCrashes
}

// trialFailed reports whether a server crashed that answered a request with the segment
// after its trial fell due.
func trialFailed(crashes []Crash, segment Part, q Quarantine, now clock.Millis) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.has(segment) && now-c.Age >= q.TrialAt() })
}

// limit releases the oldest quarantines beyond maxQuarantined. t.mu must be held.
func (t *Tracker) limit(now clock.Millis) (changes []Change) {
	excess := len(t.active) - maxQuarantined
	if excess <= 0 {
		return nil
	}
	oldest := slices.SortedFunc(maps.Keys(t.active), func(a, b Part) int {
		return cmp.Or(cmp.Compare(t.active[a].Since, t.active[b].Since), comparePart(a, b))
	})
	for _, segment := range oldest[:excess] {
		changes = append(changes, Change{Part: segment, Quarantine: t.active[segment], Reason: ReasonExpired})
		t.release(segment, now)
	}
	return changes
}

// release ends a quarantine. t.mu must be held.
func (t *Tracker) release(segment Part, now clock.Millis) {
	delete(t.active, segment)
	t.released[segment] = now
}

// cancelBlocked ends the attempts with quarantined segments: they would crash the servers at
// which they wait. t.mu must be held.
func (t *Tracker) cancelBlocked() {
	for _, runs := range t.runs {
		for r := range runs {
			isBlocked := slices.ContainsFunc(r.segments, func(segment Part) bool {
				_, ok := t.active[segment]
				return ok
			})
			if isBlocked && !r.isTrial && !r.canceled && !r.sound {
				r.canceled = true
				r.cancel()
			}
		}
	}
}

// joinedSound returns the sound runs of all daemons with suspected segments. t.mu must be
// held.
func (t *Tracker) joinedSound(crashes []Crash, now clock.Millis) map[Part]SoundRuns {
	sound := make(map[Part]SoundRuns)
	for _, s := range t.evidence.Sound {
		sound[s.Part] = s
	}
	for segment := range t.suspected(crashes) {
		own, ok := t.sound.recent(segment, now)
		if !ok {
			continue
		}
		if peers, known := sound[segment]; known {
			own = own.Plus(peers)
		}
		sound[segment] = own
	}
	return sound
}

// crashCount returns the number of crashes with the segment.
func crashCount(crashes []Crash, segment Part) (n int) {
	for _, c := range crashes {
		if c.has(segment) {
			n++
		}
	}
	return n
}

// Records returns the quarantines that the store is to hold, and the released segments that
// it is to hold no longer.
func (t *Tracker) Records() (active map[Part]Quarantine, released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.active), slices.SortedFunc(maps.Keys(t.released), comparePart)
}
