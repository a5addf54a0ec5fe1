package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Reasons of a Change.
const (
	ReasonCrashes     = "crashes"      // servers crashed that answered requests with the part
	ReasonStore       = "store"        // another daemon recorded it, or released it, in the store
	ReasonTrialFailed = "trial_failed" // the request on trial crashed a server
	ReasonSound       = "sound"        // a server answered a request with the part
	ReasonExplained   = "explained"    // another part explains the crashes
	ReasonExpired     = "expired"      // no request has come for long
)

// evaluate brings the quarantined parts up to date with the evidence. t.mu must be held.
func (t *Tracker) evaluate(now clock.Millis) []Change {
	crashes := t.joined(now)
	sound := t.joinedSound(crashes, now)
	found := Find(crashes, sound)
	var changes []Change
	set := func(part Part, q Quarantine, score float64, reason string) {
		t.active[part] = q
		changes = append(changes, Change{part, true, q, crashCount(crashes, part), score, reason})
	}
	for _, cause := range found {
		if _, ok := t.active[cause.Part]; !ok && crashedRecently(crashes, cause.Part) && !t.hasOutlived(cause, crashes, now) {
			delete(t.released, cause.Part)
			set(cause.Part, Quarantine{now, minHold}, cause.Score, ReasonCrashes)
		}
	}
	for part, q := range t.evidence.Stored {
		q.Since = min(q.Since, now)
		releasedAt, released := t.released[part]
		old, known := t.active[part]
		switch {
		case now >= q.TrialAt()+expiry, released && q.Since <= releasedAt:
		case !known:
			set(part, q, 0, ReasonStore)
		case q.Hold > old.Hold:
			set(part, q, 0, ReasonStore)
		}
	}
	for _, part := range slices.SortedFunc(maps.Keys(t.active), comparePart) {
		q := t.active[part]
		if trialFailed(crashes, part, q, now) {
			set(part, Quarantine{now, min(2*q.Hold, maxHold)}, 0, ReasonTrialFailed)
			continue
		}
		if reason := t.endReason(part, q, crashes, sound, found, now); reason != "" {
			t.release(part, now)
			changes = append(changes, Change{part, false, q, crashCount(crashes, part), 0, reason})
		}
		_, stored := t.evidence.Stored[part]
		t.inStore[part] = stored
	}
	changes = append(changes, t.limit(now)...)
	maps.DeleteFunc(t.inStore, func(part Part, _ bool) bool {
		_, ok := t.active[part]
		return !ok
	})
	if len(changes) > 0 {
		blocked := maps.Clone(t.active)
		t.blocked.Store(&blocked)
		t.cancelBlocked(crashes, now)
	}
	return changes
}

// endReason returns why the quarantine of the part ends; empty if it goes on.
func (t *Tracker) endReason(part Part, q Quarantine, crashes []Crash, sound map[Part]SoundRuns, found []Cause, now clock.Millis) string {
	s := sound[part]
	isSound := s.Count > 0
	_, stored := t.evidence.Stored[part]
	switch {
	case isSound && now-s.Age > q.TrialAt():
		return ReasonSound // of the trial, which no crash followed
	case slices.ContainsFunc(found, func(c Cause) bool { return c.Part == part }):
	case isSound && now < q.Since+settleTime:
		return ReasonSound
	case isSound && now-s.Age > q.Since:
		return ReasonSound
	case t.hasFullEvidence(part, q, crashes, now) && explained(crashes, part, found):
		return ReasonExplained
	case t.inStore[part] && !stored:
		return ReasonStore
	case now >= q.TrialAt()+expiry:
		return ReasonExpired
	}
	return ""
}

// settleTime is how long the reports of sound runs from before a quarantine may take.
const settleTime = 5_000 * clock.Millis(1)

// crashedRecently reports whether a crash with the part is younger than settleTime.
func crashedRecently(crashes []Crash, part Part) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.Age < settleTime && c.has(part) })
}

// maxUnexplained is the number of crashes of a quarantined request that may lack another cause
// when it is released because others explain its crashes.
const maxUnexplained = 1

// explained reports whether the crashes with the part have been found to have other causes,
// all but a few that would not suffice for a quarantine; of a request, all but one. Two requests
// that crash servers share some of their crashes: with a weaker rule each is released in turn
// when the other crashes one more. A segment of a request's own prompt doesn't exonerate the
// request.
func explained(crashes []Crash, part Part, found []Cause) bool {
	others, own := 0, 0
	for _, c := range crashes {
		switch {
		case !c.has(part):
		case slices.ContainsFunc(found, func(cause Cause) bool {
			return c.has(cause.Part) && (!part.IsRequest() || !c.haveBoth(part, cause.Part))
		}):
			others++
		default:
			own++
		}
	}
	allowed := minCrashes - 1
	if part.IsRequest() {
		allowed = maxUnexplained
	}
	return others >= minCrashes && own <= allowed
}

// hasFullEvidence reports whether this daemon knows the crashes for which the part was
// quarantined. A daemon that started since then has lost its own notes, and its peers report
// their crashes for reportTime only: the few that it knows may have another cause than those
// that it doesn't. t.mu must be held.
func (t *Tracker) hasFullEvidence(part Part, q Quarantine, crashes []Crash, now clock.Millis) bool {
	before := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return q.Since+joinTime < now-c.Age })
	return t.startedAt <= q.Since && crashCount(before, part) >= minCrashes
}

// trialFailed reports whether a server crashed that answered a request with the part
// after its trial fell due.
func trialFailed(crashes []Crash, part Part, q Quarantine, now clock.Millis) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.has(part) && now-c.Age >= q.TrialAt() })
}

// limit releases the oldest requests of an account beyond maxOfAccount, and beyond
// maxQuarantined the oldest quarantines of the account that has most. t.mu must be held.
func (t *Tracker) limit(now clock.Millis) (changes []Change) {
	byAccount := make(map[accountTag][]Part)
	for part := range t.active {
		byAccount[part.account()] = append(byAccount[part.account()], part)
	}
	releaseOldest := func(account accountTag) {
		oldest := slices.MinFunc(byAccount[account], func(a, b Part) int {
			return cmp.Or(cmp.Compare(t.active[a].Since, t.active[b].Since), comparePart(a, b))
		})
		byAccount[account] = slices.DeleteFunc(byAccount[account], func(part Part) bool { return part == oldest })
		changes = append(changes, Change{Part: oldest, Quarantine: t.active[oldest], Reason: ReasonExpired})
		t.release(oldest, now)
	}
	for account := range byAccount {
		for account != (accountTag{}) && len(byAccount[account]) > maxOfAccount {
			releaseOldest(account)
		}
	}
	for len(t.active) > maxQuarantined {
		releaseOldest(slices.MaxFunc(slices.Collect(maps.Keys(byAccount)), func(a, b accountTag) int {
			return cmp.Or(cmp.Compare(len(byAccount[a]), len(byAccount[b])), cmp.Compare(string(a[:]), string(b[:])))
		}))
	}
	return changes
}

// release ends a quarantine. t.mu must be held.
func (t *Tracker) release(part Part, now clock.Millis) {
	delete(t.active, part)
	t.released[part] = now
}

// cancelBlocked ends the attempts with quarantined parts: they would crash the servers at
// which they wait. One that has lasted for longer than it took such requests to crash a server
// may end the quarantine by its answer. t.mu must be held.
func (t *Tracker) cancelBlocked(crashes []Crash, now clock.Millis) {
	longest := make(map[Part]clock.Millis)
	for part := range t.active {
		if waits := waitsOf(crashes, part); len(waits) > 0 {
			longest[part] = slices.Max(waits)
		}
	}
	lasts := func(r *Run, part Part) bool {
		wait, known := longest[part]
		since := r.begunAt
		if part.IsRequest() {
			since = r.sentAt
		}
		return known && since > 0 && now-since > wait
	}
	for _, runs := range t.runs {
		for r := range runs {
			isBlocked := slices.ContainsFunc(r.parts, func(part Part) bool {
				_, ok := t.active[part]
				return ok && !lasts(r, part)
			})
			if isBlocked && !r.isTrial && !r.canceled && !r.sound {
				r.canceled = true
				r.cancel()
			}
		}
	}
}

// waitsOf returns how long the suspects with the part had waited in each crash.
func waitsOf(crashes []Crash, part Part) (waits []clock.Millis) {
	for _, c := range crashes {
		if c.has(part) {
			waits = append(waits, c.waitOf(part))
		}
	}
	return waits
}

// hasOutlived reports whether a request that is to be quarantined runs at so many servers
// for longer than it mostly took it to crash one that it is unlikely to be the cause. t.mu
// must be held.
func (t *Tracker) hasOutlived(cause Cause, crashes []Crash, now clock.Millis) bool {
	if !cause.Part.IsRequest() {
		return false
	}
	waits := waitsOf(crashes, cause.Part)
	usual := usualWait(waits)
	outlived := make(map[ServerStart]bool)
	for r := range t.liveRuns() {
		if now-r.sentAt > usual && slices.Contains(r.parts, cause.Part) {
			outlived[r.server] = true
		}
	}
	return len(waits)-len(outlived) < minCrashes
}

// joinedSound returns the sound runs of all daemons with suspected parts. t.mu must be
// held.
func (t *Tracker) joinedSound(crashes []Crash, now clock.Millis) map[Part]SoundRuns {
	sound := make(map[Part]SoundRuns)
	for _, s := range t.evidence.Sound {
		sound[s.Part] = s
	}
	for _, own := range t.ownSound(t.suspected(crashes), now) {
		if peers, known := sound[own.Part]; known {
			own = own.Plus(peers)
		}
		sound[own.Part] = own
	}
	return sound
}

// crashCount returns the number of crashes with the part.
func crashCount(crashes []Crash, part Part) (n int) {
	for _, c := range crashes {
		if c.has(part) {
			n++
		}
	}
	return n
}

// Records returns the quarantines that the store is to hold, and the released parts that
// it is to hold no longer.
func (t *Tracker) Records() (active map[Part]Quarantine, released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.active), slices.SortedFunc(maps.Keys(t.released), comparePart)
}
