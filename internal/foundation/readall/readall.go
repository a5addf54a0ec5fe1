// Package readall reads messages whole, with all memory that this takes counted.
package readall

import (
	"io"

	"github.com/pkg/errors"
)

// ErrNoMemory means that the memory for a message was refused.
var ErrNoMemory = errors.New("memory is used up")

const (
	// firstBytes is the buffer of a message of unknown length, at first.
	firstBytes = 4 << 10
	// firstKnownBytes bounds the buffer of a message of known length, at first: a sender may
	// claim any length.
	firstKnownBytes = 64 << 10
)

// Memory counts the bytes of buffers.
type Memory interface {
	// Grow adds bytes, and returns false if they are refused.
	Grow(bytes int64) bool
	// Shrink gives back bytes.
	Shrink(bytes int64)
}

// ReadAll reads until EOF. size is the length that the sender has stated; -1 if it hasn't. The
// capacity of the buffer that it returns stays counted. While the buffer grows, the old one and the
// new one are counted. It returns ErrNoMemory or the error of r; nothing is counted then.
func ReadAll(r io.Reader, size int64, memory Memory) ([]byte, error) {
	first := int64(firstBytes)
	if size >= 0 {
		first = min(size, firstKnownBytes) + 1 // room for the read that returns EOF
	}
	if !memory.Grow(first) {
		return nil, ErrNoMemory
	}
	b := make([]byte, 0, first)
	for {
		if len(b) == cap(b) {
			grown, ok := grow(b, size, memory)
			if !ok {
				memory.Shrink(int64(cap(b)))
				return nil, ErrNoMemory
			}
			b = grown
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			memory.Shrink(int64(cap(b)))
			return nil, err
		}
	}
}

// grow returns a copy of b with at least twice the capacity, but at most one byte more than size.
func grow(b []byte, size int64, memory Memory) ([]byte, bool) {
	capacity := 2 * int64(cap(b))
	if size >= int64(len(b)) {
		capacity = min(capacity, size+1)
	}
	if !memory.Grow(capacity) {
		return nil, false
	}
	grown := make([]byte, len(b), capacity)
	copy(grown, b)
	memory.Shrink(int64(cap(b)))
	return grown, true
}
