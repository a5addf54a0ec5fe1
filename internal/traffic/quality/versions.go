package quality

import (
	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
)

// RecordServerError takes in an error that an engine itself gave for the version.
func (k *Tracker) RecordServerError(version string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count(version, false)
}

// count takes in one answer that this daemon has seen.
func (k *Tracker) count(version string, good bool) {
	c := k.own[version]
	c.Name = version
	if good {
		c.Good++
	} else {
		c.Bad++
	}
	k.own[version] = c
	if good {
		k.weigh(version, 1, 0)
	} else {
		k.weigh(version, 0, 1)
	}
}

// weigh adds answers of any daemon to the test of the version, so that every
// daemon runs the test on the answers of all.
func (k *Tracker) weigh(version string, good, bad int) {
	if good+bad == 0 {
		return
	}
	k.answers[version] += good + bad
	k.scores[version] = k.scores[version].WithAll(k.test, good, bad)
	if k.scores[version].Trips(k.test) {
		k.tripped = append(k.tripped, version)
	}
}

// TakeTripped returns the versions that the test has closed since the last call.
func (k *Tracker) TakeTripped() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	tripped := k.tripped
	k.tripped = nil
	return tripped
}

// OwnCounts returns this daemon's counts, for its peers.
func (k *Tracker) OwnCounts() ([]cascade.RatingCount, []controlstate.VersionCount) {
	counts := k.table.OwnCounts()
	k.mu.Lock()
	defer k.mu.Unlock()
	versions := make([]controlstate.VersionCount, 0, len(k.own))
	for _, c := range k.own {
		versions = append(versions, c)
	}
	return counts, versions
}

// SetPeerCounts takes in a peer's counts. Counts that went down mean that the peer
// has started anew.
func (k *Tracker) SetPeerCounts(member string, counts []cascade.RatingCount, versions []controlstate.VersionCount) {
	k.table.SetPeerCounts(member, counts)
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.peers[member]
	now := make(map[string]controlstate.VersionCount, len(versions))
	for _, c := range versions {
		now[c.Name] = c
		old := before[c.Name]
		if c.Good < old.Good || c.Bad < old.Bad {
			old = controlstate.VersionCount{}
		}
		k.weigh(c.Name, c.Good-old.Good, c.Bad-old.Bad)
	}
	k.peers[member] = now
}

// CanaryStats returns what all daemons together have seen of a version.
func (k *Tracker) CanaryStats(name string) rollout.CanaryStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rollout.CanaryStats{Answers: k.answers[name], Score: k.scores[name]}
}

// Reset forgets the evidence of a version whose row an operator has changed.
func (k *Tracker) Reset(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.scores, name)
	delete(k.answers, name)
}
