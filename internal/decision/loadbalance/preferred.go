package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// preferred returns the index of the server that all daemons prefer for the prompt's
// longest shared prefix, by rendezvous hash; -1 if the prompt shares no prefix.
func (b *Balancer) preferred(v *fleet.View, r *Request, entries []fleet.Entry) int {
	if len(b.prefixBuf) == 0 {
		return -1
	}
	prefix := b.prefixBuf[len(b.prefixBuf)-1].Hash
	best, highest := -1, uint64(0)
	for i := range entries {
		e := &entries[i]
		if !r.allows(v, e) || b.announcements.of(e).isLeaving() {
			continue
		}
		if weight := container.CombineHash(prefix, e.ID); (best < 0 || weight > highest) && !b.limits.blocks(e, r.Now) {
			best, highest = i, weight
		}
	}
	return best
}

// uncachedTokens returns the prefill tokens that remain at the preferred server.
func (b *Balancer) uncachedTokens(p Prompt) int {
	if len(b.prefixBuf) == 0 {
		return p.Tokens
	}
	shared := float64(b.prefixBuf[len(b.prefixBuf)-1].Tokens)
	return max(p.Tokens-int(shared*cachedShare), 0)
}
