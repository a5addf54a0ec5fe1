package peerstats

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestTokens checks that the tokens in flight reach the daemons of both data centres, a shared
// prefix once, and that they expire with the reports.
func TestTokens(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second, remote := newAggregator(c, 1, 11), newAggregator(c, 2, 12), newAggregator(c, 8, 14)
	tokens := func(private int) map[string]loadbalance.TokenLoad {
		return map[string]loadbalance.TokenLoad{"e1": {Private: private, Shared: map[uint32]int{7: 500}}}
	}
	leader.SetOwnTokens(tokens(100))
	second.SetOwnTokens(tokens(20))
	_, _, ok := second.PeerTokens()
	assert.Assert(t, !ok, "no report yet")
	second.SetPeerTotal(leader.HandleReport(Report{From: "second", Snapshot: second.Own()}))
	remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()})
	got, at, ok := second.PeerTokens()
	assert.Assert(t, ok)
	assert.Equal(t, at, clock.Millis(1_000))
	assert.DeepEqual(t, got, tokens(100))
	got, _, _ = remote.PeerTokens()
	assert.DeepEqual(t, got, tokens(120))
	c.Advance(loadLifetime)
	got, _, ok = remote.PeerTokens()
	assert.Assert(t, !ok && len(got) == 0, "expired")
}

// TestTokenReportSize checks that reports without tokens are as they were, and bounds what
// tokens add to the total that each daemon receives, of 140 servers and 100 prefixes in use: the
// reports of all parts may take 20 KB/s.
func TestTokenReportSize(t *testing.T) {
	a := New(clock.NewManual(1_000))
	loads, tokens := make(map[string]loadbalance.Load), make(map[string]loadbalance.TokenLoad)
	for i := range 140 {
		id := "server-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		loads[id] = loadbalance.Load{Calls: 16, Prefill: 100}
		tokens[id] = loadbalance.TokenLoad{Private: 70_000 + i}
		if i < 100 {
			tokens[id] = loadbalance.TokenLoad{Private: 70_000 + i, Shared: map[uint32]int{1<<31 + uint32(i): 5_382}}
		}
	}
	a.SetOwn(loads, nil, nil)
	assert.Assert(t, a.Own().Tokens == nil && a.DataCentreTotal().Tokens == nil)
	without := encodedBytes(t, a.Own())
	a.SetOwnTokens(tokens)
	perSecond := float64(encodedBytes(t, a.Own())-without) / float64(reportPeriod) * 1000
	t.Logf("%d bytes without tokens, %.0f B/s more with them", without, perSecond)
	assert.Assert(t, perSecond <= 6_000)
}

// encodedBytes returns the size of the snapshot in bytes, encoded as package peer does.
func encodedBytes(t *testing.T, s Snapshot) int {
	t.Helper()
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	assert.NilError(t, encoder.Encode(s))
	return b.Len()
}
