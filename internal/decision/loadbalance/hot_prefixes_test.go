package loadbalance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// unevenBalancer returns a balancer that takes all pools' servers for uneven.
func unevenBalancer() *Balancer {
	b := NewBalancer()
	b.SetFeatures(loadfeatures.Features{UnevenServers: loadfeatures.On})
	return b
}

// sendPrompts sends requests for the document at even intervals for 20 s and returns the
// number of servers that are preferred for it in the end.
func sendPrompts(t *testing.T, b *Balancer, document string, interval clock.Millis, now clock.Millis) int {
	t.Helper()
	v := engines(24)
	request := Request{Pool: textPool(), Model: "m", Prompt: prompt(document, 2_000)}
	for end := now + 20_000; now < end; now += interval {
		request.Now, request.Salt = now, uint64(now)
		c, result := b.Choose(v, request)
		assert.Equal(t, result, Chosen)
		b.PrefillDone(&c)
		b.Done(&c)
	}
	return preferredCount(b, document, now)
}

// preferredCount returns the number of servers that are preferred for the document.
func preferredCount(b *Balancer, document string, now clock.Millis) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := engines(24)
	request := Request{Pool: textPool(), Model: "m", Prompt: prompt(document, 2_000), Now: now}
	return len(b.newPlacement(v, &request, v.Pool("text")).preferred)
}

// TestHotPromptHasAsManyServersAsItNeeds guards against one server getting more requests for
// a prompt than it can serve, against a rare prompt being prefilled by many servers, and
// against servers being kept for a prompt whose demand has ended.
func TestHotPromptHasAsManyServersAsItNeeds(t *testing.T) {
	b, start := unevenBalancer(), speedTestStart
	assert.Equal(t, sendPrompts(t, b, "rare", 2_000, start), 1)
	// A prefill takes 0.03 ms for each of 2,825 tokens, and the stream 59 ms of a server, so
	// that 25 requests a second fill 3.6 servers, or seven to eight to a half.
	hot := sendPrompts(t, b, "hot", 40, start+20_000)
	assert.Assert(t, hot >= 6 && hot <= 10, "%d servers", hot)
	assert.Equal(t, preferredCount(b, "hot", start+100_000), 1)
}

// TestHotPromptIsKnownFromPeers guards against a prompt whose demand is spread over many
// daemons having one server, and against demand that a cut-off daemon can't know.
func TestHotPromptIsKnownFromPeers(t *testing.T) {
	hot, other, now := unevenBalancer(), unevenBalancer(), speedTestStart
	sendPrompts(t, hot, "hot", 40, now)
	now += 20_000
	sendPrompts(t, other, "rare", 2_000, now-20_000)
	assert.Equal(t, preferredCount(other, "hot", now), 1)
	other.SetPeerPrefixes(hot.OwnPrefixes(now), true, now)
	assert.Assert(t, preferredCount(other, "hot", now) >= 6)
	other.SetPeerPrefixes(nil, false, now+100)
	assert.Assert(t, preferredCount(other, "hot", now+100) >= 6, "not heard of any daemon for 0.1 s")
	assert.Equal(t, preferredCount(other, "hot", now+2_000), 1, "for 2 s")
}

// TestPrefixesAreBounded guards against memory and reports that grow with the number of
// prompts, and against rare prompts displacing a hot one.
func TestPrefixesAreBounded(t *testing.T) {
	b, now := unevenBalancer(), speedTestStart
	v := engines(24)
	for i := range 3_000 {
		document := fmt.Sprintf("document-%d", i)
		if i%4 == 0 {
			document = "hot"
		}
		now += 10
		c, result := b.Choose(v, Request{Pool: textPool(), Model: "m", Prompt: prompt(document, 2_000), Salt: uint64(i), Now: now})
		assert.Equal(t, result, Chosen)
		b.PrefillDone(&c)
		b.Done(&c)
	}
	assert.Assert(t, len(b.hot.own) <= maxPrefixes)
	reports := b.OwnPrefixes(now)
	assert.Assert(t, len(reports) <= maxPrefixReports)
	assert.Assert(t, reports[0].Work > 20*reports[1].Work, "%v", reports[:2])
	assert.Assert(t, preferredCount(b, "hot", now) > 1)
}

// TestHotPromptIsSampled guards against all daemons sending a hot prompt to the same one of
// its servers by the same reports: an idle one must get no more than half of the requests.
// A quarter have it in their sample of two in eight preferred servers, and a sixth in that
// of all servers.
func TestHotPromptIsSampled(t *testing.T) {
	const choices = 670
	v, hot, now := engines(24), unevenBalancer(), speedTestStart
	sendPrompts(t, hot, "hot", 30, now)
	now += 20_000
	reports := hot.OwnPrefixes(now)
	counts := make(map[string]int)
	for d := range choices {
		b := unevenBalancer()
		others := make(map[string]Load)
		for i, id := range v.ServerIDs() {
			others[id] = Load{Calls: 8 + i%2, Prefill: 100}
		}
		request := Request{
			Pool: textPool(), Model: "m", Prompt: prompt("hot", 2_000), Now: now, Salt: container.Hash(fmt.Sprint(d)), Hosts: make([]string, 67),
		}
		c, _ := b.Choose(v, request)
		b.Cancel(&c)
		b.SetPeerPrefixes(reports, true, now)
		first := b.newPlacement(v, &request, v.Pool("text")).preferred[0]
		others[v.Pool("text")[first].ID] = Load{}
		b.SetPeerLoads(others, now)
		c, result := b.Choose(v, request)
		assert.Equal(t, result, Chosen)
		counts[c.Server.ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n <= choices/2, "%s got %d of %d", id, n, choices)
	}
}

// TestFewUnevenServersAreShared guards against all daemons sending to the one of a few servers
// that their reports show as idle: it must get no more than three in four of the requests.
func TestFewUnevenServersAreShared(t *testing.T) {
	const choices = 670
	v := plainServers("a", "b", "c", "d")
	counts := make(map[string]int)
	for d := range choices {
		b := unevenBalancer()
		request := plainRequest("", speedTestStart)
		request.Tried, request.Hosts, request.Salt = nil, make([]string, 67), container.Hash(fmt.Sprint(d))
		c, _ := b.Choose(v, request)
		b.Cancel(&c)
		b.SetPeerLoads(map[string]Load{"b": {Calls: 17}, "c": {Calls: 17}, "d": {Calls: 17}}, speedTestStart)
		c, result := b.Choose(v, request)
		assert.Equal(t, result, Chosen)
		counts[c.Server.ID]++
	}
	assert.Assert(t, counts["a"] <= choices*3/4, "%v", counts)
}
