package quarantine

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
)

// TestRequestParts checks which requests count as the same. None of another client account
// may be taken for a request that crashes servers.
func TestRequestParts(t *testing.T) {
	base := Content{Route: "r", Account: "smiths", Method: "GET", Host: "desk.example", Target: "/read/2f", Body: []byte("body")}
	vary := func(change func(c *Content)) Content {
		c := base
		change(&c)
		return c
	}
	cases := map[string]struct {
		content Content
		same    bool
	}{
		"the same":            {vary(func(c *Content) { c.Body = []byte("body") }), true},
		"another account":     {vary(func(c *Content) { c.Account = "shrines" }), false},
		"another route":       {vary(func(c *Content) { c.Route = "q" }), false},
		"another method":      {vary(func(c *Content) { c.Method = "POST" }), false},
		"another host":        {vary(func(c *Content) { c.Host = "other.example" }), false},
		"another path":        {vary(func(c *Content) { c.Target = "/read/30" }), false},
		"another body":        {vary(func(c *Content) { c.Body = nil }), false},
		"bytes moved between": {vary(func(c *Content) { c.Target, c.Body = "/read/2fbo", []byte("dy") }), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, RequestPart(c.content) == RequestPart(base), c.same)
		})
	}
}

// TestPartsAreDistinct checks that other fields, other accounts and prompt segments never
// give the same part, and that parts pass unchanged through their name and the wire.
func TestPartsAreDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab]{0,3}`)
		draw := func() Content {
			return Content{
				Route: text.Draw(t, "route"), Account: text.Draw(t, "account"), Method: text.Draw(t, "method"),
				Host: text.Draw(t, "host"), Target: text.Draw(t, "target"), Body: []byte(text.Draw(t, "body")),
			}
		}
		a, b := draw(), draw()
		same := a.Route == b.Route && a.Account == b.Account && a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && string(a.Body) == string(b.Body)
		part, other := RequestPart(a), RequestPart(b)
		assert.Equal(t, part == other, same)
		assert.Equal(t, part.account() == other.account(), a.Account == b.Account)
		segment := SegmentPart(a.Route)
		assert.Assert(t, part.IsRequest() && !segment.IsRequest() && part != segment)
		parsed, err := ParsePart(part.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, part)
		encoded, err := msgpack.Marshal(part)
		assert.NilError(t, err)
		assert.Equal(t, len(encoded), len(part)+2)
		var decoded Part
		assert.NilError(t, msgpack.Unmarshal(encoded, &decoded))
		assert.Equal(t, decoded, part)
	})
}

// TestPartsOfRequest checks which parts a request has, and that the private segment of its
// prompt is none.
func TestPartsOfRequest(t *testing.T) {
	c := Content{Account: "smiths", Target: "/draft/1"}
	prompt := func(ids ...string) (p loadbalance.Prompt) {
		for _, id := range ids {
			p.Segments = append(p.Segments, loadbalance.Segment{ID: id})
		}
		return p
	}
	content := RequestPart(c)
	cases := map[string]struct {
		prompt loadbalance.Prompt
		want   []Part
	}{
		"a call":                 {prompt(), []Part{content}},
		"a private segment only": {prompt("own"), []Part{content, content.withPrompt(prompt("own"))}},
		"three segments":         {prompt("a", "b", "own"), []Part{content, SegmentPart("a"), SegmentPart("b"), content.withPrompt(prompt("a", "b", "own"))}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, Parts(test.prompt, c), test.want) })
	}
}
