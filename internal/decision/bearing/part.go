package bearing

import "gypsumpitch.example/gypsumpitch/internal/foundation/container"

// Part is a piece of a prompt. Requests that begin with the same parts can
// share what an engine keeps of them.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a generation asks an engine to read.
type Prompt struct {
	Parts []Part // in order; the last belongs to the request or its session
	Read  int    // tokens in all
	Write int    // most tokens of the answer
}

// Prefix is the beginning of a prompt up to some part, for one model.
type Prefix struct {
	Hash   uint64
	Tokens int // from the start to the end of this part
}

// Prefixes returns the prompt's beginnings that other requests may share,
// shortest first.
func (p Prompt) Prefixes(model string, into []Prefix) []Prefix {
	if len(p.Parts) < 2 {
		return into
	}
	hash, tokens := container.Hash(model), 0
	for _, part := range p.Parts[:len(p.Parts)-1] {
		hash = container.Mix(hash, part.ID)
		tokens += part.Tokens
		into = append(into, Prefix{Hash: hash, Tokens: tokens})
	}
	return into
}
