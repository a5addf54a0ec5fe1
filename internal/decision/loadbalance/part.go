package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/container"

// Segment is a piece of a prompt. Requests that begin with the same parts can
// share what an engine keeps of them.
type Segment struct {
	ID     string
	Tokens int
}

// Prompt is what a generation asks an engine to read.
type Prompt struct {
	Segments        []Segment // in order; the last belongs to the request or its session
	Tokens          int       // tokens in all
	MaxOutputTokens int       // most tokens of the answer
}

// Prefix is the beginning of a prompt up to some part, for one model.
type Prefix struct {
	Hash   uint64
	Tokens int // from the start to the end of this part
}

// Prefixes returns the prompt's beginnings that other requests may share,
// shortest first.
func (p Prompt) Prefixes(model string, into []Prefix) []Prefix {
	if len(p.Segments) < 2 {
		return into
	}
	hash, tokens := container.Hash(model), 0
	for _, part := range p.Segments[:len(p.Segments)-1] {
		hash = container.Mix(hash, part.ID)
		tokens += part.Tokens
		into = append(into, Prefix{Hash: hash, Tokens: tokens})
	}
	return into
}
