package relay

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	eventReadBytes = 4 << 10
	// usualEventBytes is the buffer of each stream, which is part of requestBytes.
	usualEventBytes = 2 * eventReadBytes
	// maxEventBytes limits the memory that a server can take by never ending an
	// event.
	maxEventBytes = 1 << 20
)

// errEventTooLong means that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("stream event is too long")

// eventReader splits a stream of server-sent events. If the stream is interrupted,
// an incomplete event at its end is dropped.
type eventReader struct {
	source io.Reader
	held   *heldMemory // counts the buffer beyond usualEventBytes
	buffer []byte
	start  int // of the bytes not yet returned
}

// release gives back the memory that was counted.
func (e *eventReader) release() { e.held.release() }

// Next returns the complete events that have arrived, at least one, and the last
// event ID among them. The bytes are valid until the next call. io.EOF means that
// the stream ended after a complete event.
func (e *eventReader) Next() (complete []byte, id string, err error) {
	e.buffer = append(e.buffer[:0], e.buffer[e.start:]...)
	e.start = 0
	searched := 0 // no event ends before
	for {
		if end := endOfLastEvent(e.buffer[searched:]); end > 0 {
			e.start = searched + end
			return e.buffer[:e.start], lastEventID(e.buffer[:e.start]), nil
		}
		searched = max(len(e.buffer)-maxBlankLineBytes+1, 0)
		if len(e.buffer) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if !e.makeRoom() {
			return nil, "", errNoMemory
		}
		used := len(e.buffer)
		n, err := e.source.Read(e.buffer[used:min(used+eventReadBytes, cap(e.buffer))])
		e.buffer = e.buffer[:used+n]
		if n > 0 {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(e.buffer)) > 0 {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, "", err
		}
	}
}

// makeRoom makes room in the buffer. It reports false if there is no memory for that.
func (e *eventReader) makeRoom() bool {
	used, size := len(e.buffer), cap(e.buffer)
	if used < size {
		return true
	}
	if size == 0 {
		e.buffer = make([]byte, 0, usualEventBytes)
		return true
	}
	if !e.held.set(size + 2*size - usualEventBytes) {
		return false
	}
	e.buffer = append(make([]byte, 0, 2*size), e.buffer...)
	return e.held.set(2*size - usualEventBytes)
}

// maxBlankLineBytes is the length of the longest end of an event.
const maxBlankLineBytes = len("\r\n\r\n")

// endOfLastEvent returns the index after the last blank line, or 0 if there is none.
func endOfLastEvent(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	crlf := bytes.LastIndex(b, []byte("\r\n\r\n"))
	switch {
	case crlf > lf:
		return crlf + 4
	case lf >= 0:
		return lf + 2
	}
	return 0
}

// hasEvent reports whether the bytes, which end with a blank line, hold an event and not only
// comments and line ends.
func hasEvent(b []byte) bool {
	for line := range bytes.Lines(b) {
		if bytes.HasPrefix(line, []byte("data")) || bytes.HasPrefix(line, []byte("id:")) {
			return true
		}
	}
	return false
}

// lastEventID returns the value of the last id field of the events.
func lastEventID(b []byte) string {
	start := bytes.LastIndex(b, []byte("\nid:"))
	if start < 0 {
		if !bytes.HasPrefix(b, []byte("id:")) {
			return ""
		}
		start = -1
	}
	line := b[start+len("\nid:"):]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
