package catalog

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Model is one size of model that a pool's servers run.
type Model struct {
	Name              string
	CostPer1000Tokens float64 // per 1,000 tokens generated; tokens read count as a quarter
}

// Pool is one row of the table of pools.
type Pool struct {
	Name           string
	HealthPath     string
	MaxConns       int          // connections that a server accepts from all daemons together
	ColdDuration   clock.Millis // how long a server is cold after its start
	ColdRate       float64      // requests a second that a cold server bears from all daemons together
	Slots          int          // requests that a model engine runs at once; 0 for plain apps
	TokenMemory    int          // tokens that fit a model engine's memory
	TokensPerEvent int          // tokens in one event of a stream
	Models         []Model
}

// HasEngines tells whether the pool's servers are model engines.
func (p Pool) HasEngines() bool { return p.TokenMemory > 0 }
