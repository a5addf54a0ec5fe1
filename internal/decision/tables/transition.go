package tables

// maxMemberChanges is 1 so that any majority of a document's members overlaps any
// majority of the next document's members.
const maxMemberChanges = 1

// ValidateTransition checks the rules for an edit that relate its result to the previous
// document. It does not replace Validate.
func ValidateTransition(before, after *Document) Problems {
	var problems Problems
	changes := countMissing(before.Hosts, after.Hosts) + countMissing(after.Hosts, before.Hosts)
	if before.Version > 0 && changes > maxMemberChanges {
		problems.add("hosts", "%d entry hosts added or removed, at most %d in one edit", changes, maxMemberChanges)
	}
	return problems
}

// countMissing returns how many names of from are not in other.
func countMissing[V any](from, other map[string]V) int {
	missing := 0
	for name := range from {
		if _, ok := other[name]; !ok {
			missing++
		}
	}
	return missing
}
