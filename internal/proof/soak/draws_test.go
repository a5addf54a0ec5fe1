package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
)

var drawSeed = flag.Uint64("draw-seed", 1, "seed of the requests of tests without a seed of their own")

// drawStream distinguishes draws from the callers' and the actions' sources.
const drawStream = 1 << 33

// draws is the source of random numbers that callers share. Safe for concurrent use.
var draws *rand.Rand

// initDraws sets draws by the flag and prints its seed.
func initDraws() {
	fmt.Println("draw seed", *drawSeed)
	// A stream of its own: with the same seed, caller 0 would draw the same request IDs.
	draws = rand.New(&lockedSource{source: rand.NewPCG(*drawSeed, drawStream)})
}

// lockedSource is a source that goroutines may share.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 returns the next number.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}
