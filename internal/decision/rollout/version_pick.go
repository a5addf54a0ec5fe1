// Package rollout selects model versions for new sessions and decides when a
// roll-out advances and when a version is bad. PickVersion, NextShare and Score serve
// program/daemon; ShareAt, AnswerStats and Comparison serve program/entry.
package rollout

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// PickVersion selects the version of the model for a new session, in proportion
// to the shares of the versions that admit accepts. It returns false if none of
// them has a share. Daemons with the same configuration pick the same version
// for the same hash.
func PickVersion(m tables.Model, hash uint64, admit func(version string) bool) (string, bool) {
	names := slices.Sorted(maps.Keys(m.Versions))
	total := 0
	for _, name := range names {
		total += weight(m.Versions[name], name, admit)
	}
	if total == 0 {
		return "", false
	}
	point := int(hash % uint64(total))
	for _, name := range names {
		point -= weight(m.Versions[name], name, admit)
		if point < 0 {
			return name, true
		}
	}
	return "", false
}

func weight(v tables.ModelVersion, name string, admit func(string) bool) int {
	if (v.State != tables.Active && v.State != tables.Canary) || !admit(name) {
		return 0
	}
	return v.Share
}
