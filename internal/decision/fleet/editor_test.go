package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

func ExampleView_Edit() {
	v := NewView().WithServer(Server{ID: "s1", Pool: "text"}, 0)
	e := v.Edit()
	e.RemoveServer("s1")
	e.SetServer(Server{ID: "s2", Pool: "text"}, 0)
	fmt.Println(e.View().ServerIDs(), v.ServerIDs())
	// Output: [s2] [s1]
}

// TestEditorEqualsSingleChanges applies random pages of changes through one editor each,
// and one by one. Both must give the same view, and neither may change earlier views.
func TestEditorEqualsSingleChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batched, single := NewView(), NewView()
		for now := range clock.Millis(6) {
			before, beforePool := batched, append([]Entry(nil), batched.Pool("text")...)
			editor := batched.Edit()
			for range rapid.IntRange(0, 12).Draw(t, "changes") {
				id := fmt.Sprintf("s%d", rapid.IntRange(0, 9).Draw(t, "id"))
				if rapid.Bool().Draw(t, "remove") {
					editor.RemoveServer(id)
					single = single.WithoutServer(id)
					continue
				}
				s := Server{
					ID: id, Pool: rapid.SampledFrom([]string{"text", "app"}).Draw(t, "pool"),
					Address:       rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "address"),
					ColdRemaining: clock.Millis(rapid.IntRange(0, 2).Draw(t, "cold")),
				}
				editor.SetServer(s, now)
				single = single.WithServer(s, now)
			}
			for _, address := range []string{"a1", "a2", "a3"} {
				assert.DeepEqual(t, editor.ServerIDsAt(address), single.Edit().ServerIDsAt(address))
			}
			batched = editor.View()
			assert.DeepEqual(t, batched.ServerIDs(), single.ServerIDs())
			for _, pool := range []string{"text", "app"} {
				assert.Equal(t, len(batched.Pool(pool)), len(single.Pool(pool)))
				for i, e := range batched.Pool(pool) {
					assert.Equal(t, e, single.Pool(pool)[i])
				}
			}
			assert.Equal(t, len(before.Pool("text")), len(beforePool))
			for i, e := range before.Pool("text") {
				assert.Equal(t, e, beforePool[i])
			}
		}
	})
}
