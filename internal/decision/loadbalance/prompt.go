package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/container"

// Segment is a part of a prompt. Requests whose prompts begin with the same segments
// can share the tokens that an engine has cached.
type Segment struct {
	ID     string
	Tokens int
}

// Prompt describes the tokens that a model engine reads and generates for a request.
type Prompt struct {
	Segments        []Segment // in order; the last one is private to the request or its session
	Tokens          int       // in all segments
	MaxOutputTokens int
}

// Prefix is a beginning of a prompt, up to the end of a segment, for one model.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Prefixes appends the prefixes that other requests may share to into, shortest first.
func (p Prompt) Prefixes(model string, into []Prefix) []Prefix {
	if len(p.Segments) < 2 {
		return into
	}
	hash, tokens := container.Hash(model), 0
	for _, segment := range p.Segments[:len(p.Segments)-1] {
		hash = container.CombineHash(hash, segment.ID)
		tokens += segment.Tokens
		into = append(into, Prefix{Hash: hash, Tokens: tokens})
	}
	return into
}
