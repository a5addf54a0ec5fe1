package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPoolsHoldTheServers changes servers in any order; the list of each pool must hold
// just its servers, by id, and views that were handed out must not change.
func TestPoolsHoldTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		want := make(map[string]Server)
		type handedOut struct {
			view *View
			list []Entry
		}
		var earlier []handedOut
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 9).Draw(t, "server"))
			if rapid.Bool().Draw(t, "goes") {
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
			earlier = append(earlier, handedOut{v, slices.Clone(v.Pool("text"))})
		}
		held := 0
		for _, pool := range []string{"text", "app"} {
			list := v.Pool(pool)
			held += len(list)
			assert.Assert(t, slices.IsSortedFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) }))
			for _, e := range list {
				assert.Equal(t, want[e.ID], e.Server)
				assert.Equal(t, e.Pool, pool)
				assert.Assert(t, slices.Contains(v.ServerIDsAt(e.Address), e.ID))
			}
		}
		assert.Equal(t, held, len(want))
		for _, h := range earlier {
			assert.DeepEqual(t, h.view.Pool("text"), h.list)
		}
	})
}
