package restore

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// pageOf returns a page of rows written as "key=value@version"; an empty value stands
// for a removal.
func pageOf(epoch, version int64, rows ...string) rowstore.Page {
	p := rowstore.Page{Position: rowstore.Position{Epoch: epoch, Version: version}}
	for _, text := range rows {
		key, rest, _ := strings.Cut(text, "=")
		value, v, _ := strings.Cut(rest, "@")
		p.Rows = append(p.Rows, rowstore.Row{Key: key, Value: []byte(value), Version: int64(v[0] - '0'), Epoch: epoch, Deleted: value == ""})
	}
	return p
}

// render is the inverse of pageOf; superseded rows are marked with an exclamation mark.
func render(p rowstore.Page) string {
	var texts []string
	for _, r := range p.Rows {
		text := r.Key + "=" + string(r.Value) + "@" + string(rune('0'+r.Version))
		if r.Superseded {
			text += "!"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, " ")
}

// TestLedger checks which rows come into force when the store returns from a copy.
func TestLedger(t *testing.T) {
	type step struct {
		page     rowstore.Page
		complete bool
		after    clock.Millis // since the step before
		want     string
	}
	cases := map[string][]step{
		"nothing lost": {
			{pageOf(1, 3, "a=x@1", "b=y@3"), true, 0, "a=x@1 b=y@3"},
			{pageOf(2, 3, "a=x@1", "b=y@3"), true, 0, "a=x@1 b=y@3"},
		},
		"an older state shows again": {
			{pageOf(1, 1, "a=x@1"), true, 0, "a=x@1"},
			{pageOf(1, 2, "a=y@2"), false, 0, "a=y@2"},
			{pageOf(2, 1, "a=x@1"), true, 0, "a=x@1!"},
			{pageOf(2, 1, "a=x@1"), true, 90_000, "a=x@1!"},
			{pageOf(2, 2, "a=z@2"), false, 0, "a=z@2"},
		},
		"a deleted row shows again": {
			{pageOf(1, 1, "a=x@1"), true, 0, "a=x@1"},
			{pageOf(1, 2, "a=@2"), false, 0, "a=@2"},
			{pageOf(2, 1, "a=x@1"), true, 0, "a=x@1!"},
			{pageOf(2, 2, "a=@2"), false, 0, "a=@2"},
		},
		"newer state at a lower version": {
			{pageOf(1, 1, "a=x@1"), true, 0, "a=x@1"},
			{pageOf(1, 9, "a=y@9"), false, 0, "a=y@9"},
			{pageOf(2, 3, "a=z@3"), true, 0, "a=z@3"},
		},
		"another state at the same version": {
			{pageOf(1, 2, "a=x@2"), true, 0, "a=x@2"},
			{pageOf(2, 2, "a=y@2"), true, 0, "a=y@2"},
		},
		"missing, then written again": {
			{pageOf(1, 2, "a=x@2"), true, 0, "a=x@2"},
			{pageOf(2, 1), true, 0, "a=@1!"},
			{pageOf(2, 1), true, 5_000, ""},
			{pageOf(2, 2, "a=x@2"), false, 0, "a=x@2"},
			{pageOf(2, 3), false, holdTime, ""},
		},
		"missing and never written again": {
			{pageOf(1, 2, "a=x@2"), true, 0, "a=x@2"},
			{pageOf(2, 1), true, 0, "a=@1!"},
			{pageOf(2, 3), false, holdTime - 1, ""},
			{pageOf(2, 4), false, 1, "a=@4"},
		},
		"removed after the return": {
			{pageOf(1, 2, "a=x@2"), true, 0, "a=x@2"},
			{pageOf(2, 1), true, 0, "a=@1!"},
			{pageOf(2, 3, "a=@3"), false, 0, "a=@3"},
			{pageOf(2, 4), false, holdTime, ""},
		},
		"differences from a leader": {
			{pageOf(1, 4, "a=x@1", "b=y@4"), true, 0, "a=x@1 b=y@4"},
			{pageOf(1, 5, "a=z@5"), false, 0, "a=z@5"},
			{pageOf(2, 3, "a=x@1", "b=@3"), false, 0, "a=x@1! b=@3!"},
		},
		"two returns in a row": {
			{pageOf(1, 1, "a=x@1"), true, 0, "a=x@1"},
			{pageOf(1, 2, "a=y@2"), false, 0, "a=y@2"},
			{pageOf(2, 1, "a=x@1"), true, 0, "a=x@1!"},
			{pageOf(3, 0), true, 0, "a=@0!"},
			{pageOf(3, 1, "a=y@1"), false, 0, "a=y@1"},
		},
		"removed without a return": {
			{pageOf(1, 2, "a=x@2"), true, 0, "a=x@2"},
			{pageOf(1, 3), true, 0, "a=@3"},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			l, now := NewLedger(), clock.Millis(1_000)
			for i, s := range steps {
				now += s.after
				assert.Equal(t, render(l.Apply(s.page, s.complete, now).Page), s.want, "step %d", i)
			}
		})
	}
}
