package relay

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	eventReadBytes = 4 << 10
	// maxEventBytes bounds one event, so that a server which never ends one
	// can't fill the memory.
	maxEventBytes = 1 << 20
)

// errEventTooLong says that an event is over maxEventBytes.
var errEventTooLong = errors.New("event of the stream is too long")

// events reads whole events of a stream. What follows the last whole event
// when the stream breaks is dropped.
type events struct {
	source io.Reader
	buffer []byte
	start  int // of what hasn't been returned
}

// Next returns the bytes of the whole events that have arrived, at least one,
// and the id of the last of them that has one. They are valid until the next
// call. io.EOF means that the stream ended after a whole event.
func (e *events) Next() (whole []byte, id string, err error) {
	e.buffer = append(e.buffer[:0], e.buffer[e.start:]...)
	e.start = 0
	for {
		if end := lastBoundary(e.buffer); end > 0 {
			e.start = end
			return e.buffer[:end], lastID(e.buffer[:end]), nil
		}
		if len(e.buffer) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		used := len(e.buffer)
		e.buffer = append(e.buffer, make([]byte, eventReadBytes)...)
		n, err := e.source.Read(e.buffer[used:])
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

// lastBoundary returns the index after the last blank line, or 0.
func lastBoundary(b []byte) int {
	plain := bytes.LastIndex(b, []byte("\n\n"))
	wide := bytes.LastIndex(b, []byte("\r\n\r\n"))
	switch {
	case wide > plain:
		return wide + 4
	case plain >= 0:
		return plain + 2
	}
	return 0
}

// lastID returns the value of the last id field of the events.
func lastID(b []byte) string {
	at := bytes.LastIndex(b, []byte("\nid:"))
	if at < 0 {
		if !bytes.HasPrefix(b, []byte("id:")) {
			return ""
		}
		at = -1
	}
	line := b[at+len("\nid:"):]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
