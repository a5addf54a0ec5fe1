package loadbalance

const (
	// prefillShare is the share of the pool's shortest latency target that the pending prefill
	// of a server may take.
	prefillShare = 0.4
	// longPrefillShare is the share of that time from which on a prompt counts as long. Long
	// prompts go only to servers with little else to prefill.
	longPrefillShare = 0.8
)

// hasPrefillRoom reports whether the server can begin to prefill the request soon. The caller
// must hold mu.
//
// Load pattern: a burst of long prompts. A server with free slots prefills them one after
// the other, and short urgent requests wait behind them for seconds.
func (b *Balancer) hasPrefillRoom(s *serverState, r *Request) bool {
	if !r.Pool.HasEngines() || r.Pool.ShortestTarget <= 0 {
		return true
	}
	pending := s.load(r.Now).Prefill
	if pending <= 0 {
		return true
	}
	limit := prefillShare * float64(r.Pool.ShortestTarget)
	own := float64(b.models[modelKey{r.Pool.Name, r.Model}].PrefillTime(r.Prompt.Tokens))
	return float64(pending) <= limit-min(own, longPrefillShare*limit)
}
