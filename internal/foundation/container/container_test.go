package container

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func ExampleRendezvous() {
	hosts := []string{"entry-1", "entry-2", "entry-3"}
	order := Rendezvous("session-1", hosts, func(h string) string { return h })
	remaining := Rendezvous("session-1", slices.DeleteFunc(hosts, func(h string) bool { return h == order[0] }), func(h string) string { return h })
	fmt.Println(slices.Equal(order[1:], remaining))
	// Output: true
}

// A full map must evict the least recently used entry, not the one inserted first.
func TestLRUEvictsLeastRecentlyUsed(t *testing.T) {
	l := NewLRU[string, int](2)
	l.Put("a", 1)
	l.Put("b", 2)
	l.Get("a")
	l.Put("c", 3)
	_, ok := l.Get("b")
	assert.Assert(t, !ok)
	assert.Equal(t, l.Len(), 2)
}
