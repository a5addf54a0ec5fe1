package h1

import (
	"io"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
)

// errHeadMemory means that there is no memory for an unusually large head.
var errHeadMemory = errors.New("the memory for responses is used up by their heads")

// Estimates of the memory that a head holds, in bytes: as parsed and as passed on.
const (
	headCopies      = 2
	headNameBytes   = 200 // for a name, besides its bytes
	headLineBytes   = 32  // for a line, besides its bytes
	headBytesFactor = 24  // bounds the memory for names: short lines can't all have their own
	// usualHeadMemory is part of what each call takes. Heads of a few dozen lines need no more.
	usualHeadMemory = 32 << 10
)

// headMeter measures the heads of one call as they arrive, before they are parsed. It ends with the
// head of the answer.
type headMeter struct {
	bytes, lines  int
	column        int  // in the current line
	inHead        bool // behind a status line
	informational bool // by that
	ended         bool
}

// statusColumn is where the status begins in a status line.
const statusColumn = len("HTTP/1.1 ")

// add counts bytes that have arrived, up to the end of the head.
func (m *headMeter) add(p []byte) {
	for _, b := range p {
		if m.ended {
			return
		}
		m.bytes++
		switch {
		case b == '\n' && m.inHead && m.column == 0:
			m.inHead, m.ended = false, !m.informational
		case b == '\n':
			m.lines++
			m.inHead, m.column = true, 0
		case b != '\r':
			if !m.inHead && m.column == statusColumn {
				m.informational = b == '1'
			}
			m.column++
		}
	}
}

// memory returns what the heads hold at most.
func (m *headMeter) memory() int64 {
	names := min(m.lines*headNameBytes, m.bytes*headBytesFactor)
	return int64(headCopies * (2*m.bytes + m.lines*headLineBytes + names))
}

// headHolding is what the heads of a call hold beyond usualHeadMemory. The zero value doesn't count.
type headHolding struct {
	memory readall.Memory
	meter  headMeter
	held   int64
}

// arrived counts bytes that have arrived. It returns an error if there is no memory for them.
func (h *headHolding) arrived(p []byte) error {
	if h.memory == nil {
		return nil
	}
	h.meter.add(p)
	more := h.meter.memory() - usualHeadMemory - h.held
	if more <= 0 {
		return nil
	}
	if !h.memory.Grow(more) {
		return errHeadMemory
	}
	h.held += more
	return nil
}

// begin begins to measure the next head.
func (h *headHolding) begin() { h.meter.ended, h.meter.inHead, h.meter.column = false, false, 0 }

// release gives back what is counted.
func (h *headHolding) release() {
	if h.held > 0 {
		h.memory.Shrink(h.held)
	}
	h.held, h.meter = 0, headMeter{}
}

// headReader counts the head that is read through it.
type headReader struct {
	source  io.Reader
	holding *headHolding
}

// Read reads from the source.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if noMemory := r.holding.arrived(p[:n]); noMemory != nil {
		return 0, noMemory
	}
	return n, err
}
