package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
)

// Part identifies what requests may have in common: a segment of their prompts, or their
// whole content. The first accountBytes are the tag of the client account, 0 for a segment,
// and the others a cryptographic hash, so that no caller can make a request that is taken for
// another account's.
type Part [16]byte

// accountBytes is the length of the account's tag in a Part.
const accountBytes = 4

// Content is what distinguishes requests from each other, apart from their prompts. Their
// IDs don't.
type Content struct {
	Route, Account, Method, Host, Target string
	Body                                 []byte
}

// RequestPart returns the part that all requests with the content share.
func RequestPart(c Content) Part {
	p := hashPart("request", []byte(c.Route), []byte(c.Account), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body)
	tag := sha256.Sum256([]byte(c.Account))
	copy(p[:accountBytes], tag[:])
	p[0] |= 1 // differs from the tag of a segment
	return p
}

// withPrompt returns the part that all requests with the content and the prompt share.
func (p Part) withPrompt(prompt loadbalance.Prompt) Part {
	fields := make([][]byte, 0, len(prompt.Segments)+1)
	fields = append(fields, p[:])
	for _, s := range prompt.Segments {
		fields = append(fields, []byte(s.ID))
	}
	n := hashPart("prompt", fields...)
	copy(n[:accountBytes], p[:])
	return n
}

// SegmentPart returns the part that all prompts with the segment share.
func SegmentPart(id string) Part { return hashPart("segment", []byte(id)) }

// Parts returns the parts of a request, the most specific one last: its content, the segments
// of its prompt but for the last one, which is private to the request or its session, and its
// content with the prompt.
func Parts(prompt loadbalance.Prompt, c Content) []Part {
	content := RequestPart(c)
	if len(prompt.Segments) == 0 {
		return []Part{content}
	}
	parts := []Part{content}
	for _, s := range prompt.Segments[:min(len(prompt.Segments)-1, maxSegments)] {
		parts = append(parts, SegmentPart(s.ID))
	}
	return append(parts, content.withPrompt(prompt))
}

// hashPart returns a part with the hash of the fields and without an account. Each field is
// preceded by its length, so that other fields don't give the same bytes.
func hashPart(kind string, fields ...[]byte) (p Part) {
	h := sha256.New()
	writeField := func(field []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	writeField([]byte(kind))
	for _, f := range fields {
		writeField(f)
	}
	copy(p[accountBytes:], h.Sum(nil))
	return p
}

// comparePart orders parts.
func comparePart(a, b Part) int { return bytes.Compare(a[:], b[:]) }

// IsRequest reports whether the part is the content of requests of one client account.
func (p Part) IsRequest() bool { return p.account() != accountTag{} }

// accountTag identifies the client account of a request; zero for a segment.
type accountTag [accountBytes]byte

func (p Part) account() accountTag { return accountTag(p[:accountBytes]) }

// String returns the name of the part in logs and in the store.
func (p Part) String() string { return hex.EncodeToString(p[:]) }

// ParsePart is the inverse of String.
func ParsePart(name string) (Part, error) {
	b, err := hex.DecodeString(name)
	if err != nil {
		return Part{}, errors.WithStack(err)
	}
	if len(b) != len(Part{}) {
		return Part{}, errors.Errorf("a part has %d bytes, not %d", len(Part{}), len(b))
	}
	return Part(b), nil
}
