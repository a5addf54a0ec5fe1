package loadbalance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
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
