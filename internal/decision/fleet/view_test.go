package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPools adds, moves and removes servers in any order. The list of each pool must hold
// exactly its servers, sorted by ID, and earlier views must not change.
func TestPools(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		want := make(map[string]Server)
		type snapshot struct {
			view *View
			list []Entry
		}
		var earlier []snapshot
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 9).Draw(t, "server"))
			if rapid.Bool().Draw(t, "remove") {
				v = v.WithoutServer(id)
				delete(want, id)
			} else {
				s := Server{
					ID: id, Pool: rapid.SampledFrom([]string{"text", "app"}).Draw(t, "pool"),
					Address: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"),
				}
				v = v.WithServer(s, 1)
				want[id] = s
			}
			earlier = append(earlier, snapshot{v, slices.Clone(v.Pool("text"))})
		}
		listed := 0
		for _, pool := range []string{"text", "app"} {
			list := v.Pool(pool)
			listed += len(list)
			assert.Assert(t, slices.IsSortedFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) }))
			for _, e := range list {
				assert.Equal(t, want[e.ID], e.Server)
				assert.Equal(t, e.Pool, pool)
				assert.Assert(t, slices.Contains(v.Edit().ServerIDsAt(e.Address), e.ID))
			}
		}
		assert.Equal(t, listed, len(want))
		for _, e := range earlier {
			assert.DeepEqual(t, e.view.Pool("text"), e.list)
		}
	})
}
