package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// The cost of a server is the estimated time in ms that the request, and the requests
// that run beside it, would lose if it were placed there.
const (
	// costEngineCall is the cost per in-flight request at a model engine: each slows
	// every token of the others by a few per cent.
	costEngineCall = 40.0
	// costPlainCall is the same at a plain server, which runs a few requests at once.
	costPlainCall = 4.0
	// costPrefill is the cost per 1,000 tokens of prefill, for any model. Prefill that a
	// cache could have avoided takes power and delays other requests.
	costPrefill = 300.0
	// costRemote is the cost of a server in another data centre, mostly for the traffic
	// between the data centres.
	costRemote = 8.0
	// costErrors is the cost of a server all of whose recent calls failed: about the
	// time that a retry takes.
	costErrors = 3_000.0
	// costTried ranks servers that this request was already sent to, and costEjected
	// ejected servers, behind all others.
	costTried   = 100_000.0
	costEjected = 50_000.0
	// costUnsampled ranks servers outside the request's sample behind those in it, but
	// ahead of ejected and tried ones.
	costUnsampled = 20_000.0
	// costLeaving ranks servers that announced their exit behind those outside the sample,
	// but ahead of ejected and tried ones.
	costLeaving = 30_000.0
	// costNoise is the range of a pseudo-random cost that keeps daemons with the same
	// information from choosing the same server.
	costNoise = 12.0
	// costUnusedToken is the cost of leaving a limited server's token unused for now.
	costUnusedToken = costNoise
	// cachedShare is the share of a prompt's shared prefix that the preferred server is
	// assumed to have cached.
	cachedShare = 0.85
)

// loadCost returns the cost of the request at a server by its load.
func loadCost(s *serverState, e *fleet.Entry, r *Request, prefillTokens int, firstByte clock.Millis) float64 {
	load := s.load(r.Now)
	slots := s.slotsOf(e)
	call := costPlainCall
	if r.Pool.HasEngines() {
		call = costEngineCall
	}
	cost := call*float64(load.Calls) + costPrefill*float64(prefillTokens)/1000
	cost += s.slowness(r.Now) * float64(load.Prefill+firstByte)
	if load.Calls >= slots {
		// A queued request waits a share of the time that an answer takes.
		cost += float64(firstByte) * float64(load.Calls-slots+1) / float64(slots)
	}
	const noiseSteps = 1024
	return cost + costNoise*float64(container.CombineHash(r.Salt, e.ID)%noiseSteps)/noiseSteps
}

// faultCost returns the cost of what speaks against the server besides its load.
func faultCost(s *serverState, e *fleet.Entry, r *Request) float64 {
	cost := costErrors * s.currentErrorRate(r.Now)
	if e.DataCentre != r.DataCentre {
		cost += costRemote
	}
	if r.Now < s.ejectedUntil {
		cost += costEjected
	}
	if r.Tried != nil && r.Tried(e.ID) {
		cost += costTried
	}
	return cost
}
