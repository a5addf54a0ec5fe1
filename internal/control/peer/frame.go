// Package peer implements the RPC protocol between daemons: msgpack messages in
// length-prefixed frames over TCP or TLS.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
)

const (
	frameHeaderBytes = 4
	maxFrameBytes    = 64 << 20
)

// writeFrame encodes the value as msgpack and writes its length and bytes in one call of
// Write.
func writeFrame(w io.Writer, value any) error {
	var b bytes.Buffer
	b.Write(make([]byte, frameHeaderBytes))
	encoder := msgpack.NewEncoder(&b)
	encoder.SetCustomStructTag("json")
	if err := encoder.Encode(value); err != nil {
		return errors.Wrap(err, "encode frame")
	}
	frame := b.Bytes()
	size := len(frame) - frameHeaderBytes
	if size > maxFrameBytes {
		return errors.Errorf("frame of %d bytes exceeds the limit of %d", size, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	_, err := w.Write(frame)
	return errors.Wrap(err, "write frame")
}

// uncounted is memory that isn't counted. It implements readall.Memory.
type uncounted struct{}

func (uncounted) Grow(int64) bool { return true }
func (uncounted) Shrink(int64)    {}

// readFrameSize reads the size of a frame. It returns an error if that exceeds the limit.
func readFrameSize(r io.Reader, limit uint32) (int64, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, errors.Wrap(err, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > limit {
		return 0, errors.Errorf("frame of %d bytes exceeds the limit of %d", size, limit)
	}
	return int64(size), nil
}

// readFrameBody reads a frame of the size and decodes it into the value. It returns how many bytes
// stay counted in the memory.
func readFrameBody(r io.Reader, size int64, value any, memory readall.Memory) (int64, error) {
	body, err := readall.ReadAll(io.LimitReader(r, size), size, memory)
	if err != nil {
		return 0, errors.Wrap(err, "read frame")
	}
	held := int64(cap(body))
	if int64(len(body)) < size {
		return held, errors.Wrap(io.ErrUnexpectedEOF, "read frame")
	}
	return held, decode(body, value)
}

func decode(body []byte, value any) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(body))
	decoder.SetCustomStructTag("json")
	return errors.Wrap(decoder.Decode(value), "decode frame")
}

func encode(value any) ([]byte, error) {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.SetCustomStructTag("json")
	err := encoder.Encode(value)
	return b.Bytes(), errors.Wrap(err, "encode message")
}
