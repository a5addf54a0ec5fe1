package rollout

import "slices"

// countOf is a count of answers or streams of one kind.
type countOf[C any] interface {
	compareKind(other C) int
	plus(other C) C // of the same kind
	minus(earlier C) C
	isEmpty() bool
}

// addCounts returns the sum of two lists of counts, each in order of the kind.
func addCounts[C countOf[C]](a, b []C) []C {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	sum := slices.Clone(a)
	for _, c := range b {
		if i, found := slices.BinarySearchFunc(sum, c, C.compareKind); found {
			sum[i] = sum[i].plus(c)
		} else {
			sum = slices.Insert(sum, i, c)
		}
	}
	return sum
}

// subtractCounts returns what was counted since an earlier snapshot of the same counts.
func subtractCounts[C countOf[C]](a, earlier []C) []C {
	var rest []C
	for _, c := range a {
		if i, found := slices.BinarySearchFunc(earlier, c, C.compareKind); found {
			c = c.minus(earlier[i])
		}
		if !c.isEmpty() {
			rest = append(rest, c)
		}
	}
	return rest
}
