package quality

import (
	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
)

// RecordServerError counts an error response of an engine as a bad answer of the
// version.
func (t *Tracker) RecordServerError(version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countAnswer(version, false)
}

// countAnswer adds an answer of this daemon. The caller must hold mu.
func (t *Tracker) countAnswer(version string, good bool) {
	c := t.ownCounts[version]
	c.Name = version
	if good {
		c.Good++
	} else {
		c.Bad++
	}
	t.ownCounts[version] = c
	if good {
		t.addToTest(version, 1, 0)
	} else {
		t.addToTest(version, 0, 1)
	}
}

// addToTest adds answers of any daemon to the version's sequential test, so that every
// daemon tests the answers of all. The caller must hold mu.
func (t *Tracker) addToTest(version string, good, bad int) {
	if good+bad == 0 {
		return
	}
	t.answerCounts[version] += good + bad
	t.scores[version] = t.scores[version].WithAll(t.cusum, good, bad)
	if t.scores[version].Trips(t.cusum) {
		t.tripped = append(t.tripped, version)
	}
}

// TakeTripped returns the versions that have failed the test since the last call.
// A version may be listed more than once.
func (t *Tracker) TakeTripped() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	tripped := t.tripped
	t.tripped = nil
	return tripped
}

// OwnCounts returns this daemon's counts by rating key and by version, which its peers
// pass to SetPeerCounts.
func (t *Tracker) OwnCounts() ([]cascade.RatingCount, []controlstate.VersionCount) {
	counts := t.table.OwnCounts()
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make([]controlstate.VersionCount, 0, len(t.ownCounts))
	for _, c := range t.ownCounts {
		versions = append(versions, c)
	}
	return counts, versions
}

// SetPeerCounts replaces a peer's counts. Counts only grow while a daemon runs, so a
// lower count means that the peer has restarted; its new counts are added in full.
func (t *Tracker) SetPeerCounts(member string, counts []cascade.RatingCount, versions []controlstate.VersionCount) {
	t.table.SetPeerCounts(member, counts)
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.peerCounts[member]
	current := make(map[string]controlstate.VersionCount, len(versions))
	for _, c := range versions {
		current[c.Name] = c
		old := previous[c.Name]
		if c.Good < old.Good || c.Bad < old.Bad {
			old = controlstate.VersionCount{}
		}
		t.addToTest(c.Name, c.Good-old.Good, c.Bad-old.Bad)
	}
	t.peerCounts[member] = current
}

// CanaryStats returns the statistics of the version over the answers of all daemons.
func (t *Tracker) CanaryStats(version string) rollout.CanaryStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rollout.CanaryStats{Answers: t.answerCounts[version], Score: t.scores[version]}
}

// Reset discards the statistics of a version that has tripped, so that its test starts
// over if an operator puts it back into service.
func (t *Tracker) Reset(version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.scores, version)
	delete(t.answerCounts, version)
}
