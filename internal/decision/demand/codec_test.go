package demand

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Guards against reports that arrive with other numbers than were sent.
func TestUsageOnTheWire(t *testing.T) {
	want := []PoolUsage{
		{Pool: "p", Accounts: []AccountUsage{
			{Name: "", Used: 7, Classes: Classes{{Urgency: 0, Running: 1, RunningWork: 70_000}, {Urgency: 9, Waiting: 300, WaitingWork: 3}}},
			{Name: "a", Arrived: 1, Recent: 2},
		}},
		{Pool: "q", Rest: &AccountUsage{Used: 5}},
	}
	encoded, err := msgpack.Marshal(want)
	assert.NilError(t, err)
	var got []PoolUsage
	assert.NilError(t, msgpack.Unmarshal(encoded, &got))
	assert.DeepEqual(t, got, want, ignoreCodec)
}

// Guards against a peer's malformed report that takes memory or is misread.
func TestMalformedClasses(t *testing.T) {
	for name, numbers := range map[string][]int{"incomplete": make([]int, 7), "too many": make([]int, 5_000)} {
		t.Run(name, func(t *testing.T) {
			encoded, err := msgpack.Marshal(numbers)
			assert.NilError(t, err)
			var c Classes
			assert.ErrorContains(t, msgpack.Unmarshal(encoded, &c), "numbers")
		})
	}
}
