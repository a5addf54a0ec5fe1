// Package rollout chooses the version of a model for new sessions, widens
// versions that prove good and closes those that prove bad.
package rollout

import (
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// PickVersion returns the version of the model for a new session with that hash, by
// the shares of the versions that admit lets through. The same hash gives the
// same version on every daemon with the same document.
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
