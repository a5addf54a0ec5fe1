// Package container provides an LRU map and rendezvous hashing.
package container

import (
	"hash/fnv"
	"sort"
)

// Hash returns a 64-bit hash of the parts with evenly distributed bits. It is the
// same in all daemons.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix is the finaliser of MurmurHash3. It is needed since the high bits of FNV are
// poorly distributed and decide the rendezvous order.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Rendezvous returns the items in descending order of their rendezvous weight for
// key. Removing an item doesn't change the order of the others.
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

// UnitHash maps the parts to a uniformly distributed number in [0, 1), the same in
// all daemons.
func UnitHash(parts ...string) float64 {
	const bits = 53 // of a float64's significand
	return float64(Hash(parts...)>>(64-bits)) / float64(uint64(1)<<bits)
}

// CombineHash returns a hash of the hash seed and one more part. It doesn't allocate.
func CombineHash(seed uint64, part string) uint64 {
	const prime = 1099511628211 // of 64-bit FNV-1a
	for i := range len(part) {
		seed = (seed ^ uint64(part[i])) * prime
	}
	return mix(seed)
}
