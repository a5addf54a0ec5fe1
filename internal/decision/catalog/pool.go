package catalog

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Model is a model that the servers of a pool run.
type Model struct {
	Name              string
	CostPer1000Tokens float64 // of output; a prompt token counts as a quarter of an output token
}

// Pool is a row of the table of pools.
type Pool struct {
	Name           string
	HealthPath     string
	MaxConns       int          // connections that a server accepts from all daemons together
	ColdDuration   clock.Millis // how long a server is cold after its start
	ColdRate       float64      // requests per second that a cold server can handle from all daemons together; 0 for no limit
	Slots          int          // requests that a model engine runs at once; 0 for plain servers
	TokenMemory    int          // tokens that fit into the memory of a model engine; 0 for plain servers
	TokensPerEvent int          // of a stream
	Models         []Model
}

// HasEngines reports whether the pool's servers are model engines.
func (p Pool) HasEngines() bool { return p.TokenMemory > 0 }
