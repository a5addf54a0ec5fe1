// Package container holds generic containers and orderings.
package container

import (
	"hash/fnv"
	"sort"
)

// Hash returns a well-mixed 64-bit hash of the parts.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads FNV's weak high bits, on which rendezvous order depends.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Rendezvous returns the items in the order of their rendezvous weight for key,
// highest first. The order of the remaining items doesn't change when one goes.
func Rendezvous[T any](key string, items []T, name func(T) string) []T {
	type weighted struct {
		item   T
		weight uint64
	}
	list := make([]weighted, len(items))
	for i, item := range items {
		list[i] = weighted{item, Hash(key, name(item))}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].weight > list[j].weight })
	ordered := make([]T, len(items))
	for i, w := range list {
		ordered[i] = w.item
	}
	return ordered
}

// UnitHash maps the parts to [0, 1), evenly and alike on all daemons.
func UnitHash(parts ...string) float64 {
	const bits = 53 // of a float's mantissa
	return float64(Hash(parts...)>>(64-bits)) / float64(uint64(1)<<bits)
}

// CombineHash returns a well-mixed hash of a hash and one more part, without allocation.
func CombineHash(seed uint64, part string) uint64 {
	const prime = 1099511628211 // of FNV-1a with 64 bits
	for i := range len(part) {
		seed = (seed ^ uint64(part[i])) * prime
	}
	return mix(seed)
}
