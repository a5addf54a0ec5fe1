package peerstats

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestSpeeds guards against a daemon learning the speed of servers from its own calls alone,
// against its own evidence being counted twice, and against paces that seem new because they
// went through several daemons.
func TestSpeeds(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second, remote := newAggregator(c, 1, 11), newAggregator(c, 2, 12), newAggregator(c, 8, 14)
	speed := func(weight, logRatio, pace, age int) loadbalance.SpeedReport {
		return loadbalance.SpeedReport{Server: 7, Weight: weight, LogRatio: logRatio, Pace: pace, PaceAge: age}
	}
	second.SetOwnSpeeds([]loadbalance.SpeedReport{speed(40, -80, 250, 300)})
	second.SetOwn(nil, nil, nil)
	leader.SetOwnSpeeds([]loadbalance.SpeedReport{speed(20, -30, 100, 50)})
	second.SetPeerTotal(leader.HandleReport(Report{From: "second", Snapshot: second.Own()}))
	c.Advance(200)
	remote.HandleReport(Report{From: "dc-1", IsDataCentre: true, Snapshot: leader.DataCentreTotal()})
	c.Advance(200)
	assert.DeepEqual(t, remote.PeerSpeeds(), []loadbalance.SpeedReport{speed(60, -110, 100, 450)}, cmpopts.IgnoreUnexported(loadbalance.SpeedReport{}))
	assert.DeepEqual(t, second.PeerSpeeds(), []loadbalance.SpeedReport{speed(20, -30, 100, 450)}, cmpopts.IgnoreUnexported(loadbalance.SpeedReport{}))
	c.Advance(30_000)
	assert.DeepEqual(t, remote.PeerSpeeds(), []loadbalance.SpeedReport{speed(42, -78, 0, 0)}, cmpopts.IgnoreUnexported(loadbalance.SpeedReport{}))
	c.Advance(60_000)
	assert.Equal(t, len(remote.PeerSpeeds()), 0, "expired")
}

// TestPrefixes guards against a hot prompt being spread by this daemon's demand alone, and
// against demand that has ended holding servers.
func TestPrefixes(t *testing.T) {
	c := clock.NewManual(1_000)
	leader, second := newAggregator(c, 1, 11), newAggregator(c, 2, 12)
	_, heard := leader.PeerPrefixes()
	assert.Assert(t, !heard)
	second.SetOwnPrefixes([]loadbalance.PrefixReport{{Prefix: 3, Work: 40}})
	leader.HandleReport(Report{From: "second", Snapshot: second.Own()})
	leader.HandleReport(Report{From: "third", Snapshot: second.Own()})
	prefixes, heard := leader.PeerPrefixes()
	assert.Assert(t, heard)
	assert.DeepEqual(t, prefixes, []loadbalance.PrefixReport{{Prefix: 3, Work: 80}}, cmpopts.IgnoreUnexported(loadbalance.PrefixReport{}))
	c.Advance(2_000)
	prefixes, heard = leader.PeerPrefixes()
	assert.Assert(t, !heard)
	assert.Equal(t, len(prefixes), 0)
}

// TestReportsWithSpeedsAreSmall guards against reports beyond the 20 KB/s that each daemon may
// use, of which other parts take 4.9: every 400 ms one report is sent and one received.
func TestReportsWithSpeedsAreSmall(t *testing.T) {
	var s Snapshot
	for i := range 512 {
		s.Speeds = append(s.Speeds, loadbalance.SpeedReport{
			Server: uint32(i) << 20, Weight: 12_345, LogRatio: -123_456, Pace: 250, PaceAge: 1_100,
		})
	}
	for i := range 512 {
		s.Prefixes = append(s.Prefixes, loadbalance.PrefixReport{Prefix: uint32(i) << 20, Work: 1_234})
	}
	a := New(clock.NewManual(1_000))
	a.SetOwnSpeeds(s.Speeds)
	a.SetOwnPrefixes(s.Prefixes)
	s = a.DataCentreTotal()
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.SetCustomStructTag("json")
	assert.NilError(t, encoder.Encode(s))
	t.Logf("%d bytes", b.Len())
	assert.Assert(t, 2*b.Len()*5/2 <= 15_100, "%d bytes", b.Len())
}
