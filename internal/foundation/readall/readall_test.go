package readall

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// countedMemory is memory with a limit.
type countedMemory struct{ used, most, limit int64 }

func (m *countedMemory) Grow(bytes int64) bool {
	if m.used+bytes > m.limit {
		return false
	}
	m.used += bytes
	m.most = max(m.most, m.used)
	return true
}

func (m *countedMemory) Shrink(bytes int64) { m.used -= bytes }

// TestReadAllCountsBuffers guards against memory that isn't counted: the capacity of the buffer,
// and two of them while it grows. A message whose memory is refused must leave nothing counted.
func TestReadAllCountsBuffers(t *testing.T) {
	const unlimited = 1 << 30
	cases := map[string]struct {
		bytes       int
		size, limit int64
		want        error
	}{
		"empty":                     {0, 0, unlimited, nil},
		"empty of unknown length":   {0, -1, unlimited, nil},
		"short":                     {10, 10, 11, nil},
		"known length":              {1 << 20, 1 << 20, 2 << 20, nil},
		"unknown length":            {3*firstBytes + 1, -1, 6 * firstBytes, nil},
		"one byte over the limit":   {3*firstBytes + 1, -1, 6*firstBytes - 1, ErrNoMemory},
		"none for the first buffer": {1, -1, firstBytes - 1, ErrNoMemory},
		"longer than stated":        {1000, 10, unlimited, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := &countedMemory{limit: c.limit}
			content := bytes.Repeat([]byte("x"), c.bytes)
			got, err := ReadAll(bytes.NewReader(content), c.size, memory)
			assert.Equal(t, err, c.want)
			if c.want != nil {
				assert.Equal(t, memory.used, int64(0))
				return
			}
			assert.Assert(t, bytes.Equal(got, content))
			assert.Equal(t, memory.used, int64(cap(got)))
		})
	}
}

// TestReadAllClaimTakesNoMemory guards against memory for a length that is only claimed.
func TestReadAllClaimTakesNoMemory(t *testing.T) {
	memory := &countedMemory{limit: 1 << 30}
	_, err := ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 10)), iotest.ErrReader(io.ErrUnexpectedEOF)), 1<<29, memory)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, memory.used, int64(0))
	assert.Assert(t, memory.most <= firstKnownBytes+1, "%d bytes", memory.most)
}
