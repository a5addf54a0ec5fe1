package relay

import (
	"io"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// bodyReadBytes is the size up to which a plain response needs nothing from the budget, and
// the least by which its buffer grows, in bytes.
const bodyReadBytes = 8 << 10

// readBuffered reads a plain response. isLong reports that it isn't complete: it exceeds
// maxBufferedBytes, or there is no memory for more of it. release must be called when the body
// is no longer needed.
func (ex *exchange) readBuffered(resp *h1.Response) (body []byte, isLong bool, release func(), err error) {
	if ex.held == nil {
		body, err = io.ReadAll(io.LimitReader(resp, maxBufferedBytes))
		return body, len(body) == maxBufferedBytes, func() {}, err
	}
	release = func() { ex.held.set(0) }
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), bodyReadBytes), maxBufferedBytes)
			if len(body) == maxBufferedBytes || !ex.held.trySet(size-bodyReadBytes) {
				return body, true, release, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, false, release, nil
		}
		if err != nil {
			return body, false, release, err
		}
	}
}

// copyRest forwards the rest of a long response as it arrives. With shared capacity it is
// read ahead of a caller that reads slowly, as a stream is.
func (ex *exchange) copyRest(resp *h1.Response) error {
	if ex.held == nil {
		_, err := io.Copy(ex.w, resp)
		return err
	}
	buffer := make([]byte, bodyReadBytes)
	for {
		n, err := resp.Read(buffer)
		if n > 0 {
			if _, err := ex.writeBody(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
