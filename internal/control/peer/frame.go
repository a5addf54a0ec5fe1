// Package peer implements the RPC protocol between daemons: msgpack messages in
// length-prefixed frames over TCP or TLS.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
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

// readFrame reads one frame and decodes it into the value, which must be a pointer.
func readFrame(r io.Reader, value any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return errors.Wrap(err, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return errors.Errorf("frame of %d bytes exceeds the limit of %d", size, maxFrameBytes)
	}
	// The buffer grows with what arrives, since a peer may claim any size.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return errors.Wrap(err, "read frame")
	}
	return decode(body.Bytes(), value)
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
