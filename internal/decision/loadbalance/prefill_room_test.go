package loadbalance

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestPrefillRoom guards against short urgent requests that wait behind the prefill of long
// prompts at servers with free slots, and against a change without shared capacity.
func TestPrefillRoom(t *testing.T) {
	const now = clock.Millis(100_000)
	cases := map[string]struct {
		shared  bool
		pending clock.Millis
		tokens  int
		want    Result
	}{
		"nothing pending, long prompt": {true, 0, 50_000, Chosen},
		"little pending, short prompt": {true, 300, 500, Chosen},
		"little pending, long prompt":  {true, 300, 20_000, AtCapacity},
		"much pending, short prompt":   {true, 700, 500, AtCapacity},
		"without shared capacity":      {false, 700, 20_000, Chosen},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, v := NewBalancer(), engines(1)
			b.SetFeatures(loadfeatures.Features{SharedCapacity: c.shared})
			r := Request{
				Pool:  catalog.Pool{Name: "text", TokenMemory: 400_000, Slots: 64, ShortestTarget: 1_500},
				Model: "large", Prompt: Prompt{Tokens: c.tokens}, Hosts: []string{"a", "b"}, Self: "a", Now: now,
			}
			e, _ := v.Server("engine-00")
			b.state(&e)
			b.SetPeerLoads(map[string]Load{"engine-00": {Calls: 2, Prefill: c.pending}}, now)
			_, got := b.Choose(v, r)
			assert.Equal(t, got, c.want)
		})
	}
}
