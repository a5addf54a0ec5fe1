package container

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func ExampleRendezvous() {
	hosts := []string{"entry-1", "entry-2", "entry-3"}
	order := Rendezvous("visit-1", hosts, func(h string) string { return h })
	rest := Rendezvous("visit-1", slices.DeleteFunc(hosts, func(h string) bool { return h == order[0] }), func(h string) string { return h })
	fmt.Println(slices.Equal(order[1:], rest))
	// Output: true
}

// TestLRU evicts what was used longest ago.
func TestLRU(t *testing.T) {
	l := NewLRU[string, int](2)
	l.Put("a", 1)
	l.Put("b", 2)
	l.Get("a")
	l.Put("c", 3)
	_, kept := l.Get("b")
	assert.Assert(t, !kept)
	assert.Equal(t, l.Len(), 2)
}
