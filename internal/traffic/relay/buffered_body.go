package relay

import (
	"io"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// bufferedBody is the beginning of a plain response, in blocks that a streamBuffer can take
// over. Blocks beyond freeBlocks are counted by the exchange's heldMemory.
type bufferedBody struct {
	blocks [][]byte
	length int
	isLong bool // there is more, which exceeds maxBlocks or finds no memory
}

// readBuffered reads a plain response, or its beginning.
func (ex *exchange) readBuffered(resp *h1.Response) (body bufferedBody, err error) {
	for {
		last := len(body.blocks) - 1
		if last < 0 || len(body.blocks[last]) == blockBytes {
			if count := last + 2; count > maxBlocks || !ex.held.set((count-freeBlocks)*blockBytes) {
				body.isLong = true
				return body, nil
			}
			body.blocks = append(body.blocks, make([]byte, 0, blockBytes))
			last++
		}
		block := body.blocks[last]
		n, err := resp.Read(block[len(block):blockBytes])
		body.blocks[last] = block[:len(block)+n]
		body.length += n
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// forwardCounted is forwardBuffered with shared capacity. The server has done its work when the
// response is read: its slot isn't held while the caller reads.
func (ex *exchange) forwardCounted(server *fleet.Entry, resp *h1.Response) (bool, error) {
	defer ex.held.release()
	body, err := ex.readBuffered(resp)
	if err == nil && !body.isLong && ex.isCutByExit(server, resp) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return false, ex.handleInterruption(server, err)
	}
	ex.startResponse(resp)
	if length := responseLength(ex.req.Method, resp, body.length); !body.isLong && length != "" {
		ex.w.Header().Set("Content-Length", length)
	}
	ex.w.WriteHeader(resp.Status)
	if !body.isLong && body.length <= directBytes {
		// It is sent at the end of the request, with the header.
		for _, block := range body.blocks {
			if _, err := ex.w.Write(block); err != nil {
				return false, errCallerDisconnected
			}
		}
		return true, nil
	}
	ex.out = ex.newStreamBuffer()
	ex.out.takeOver(body.blocks)
	ex.held.bytes = 0 // the streamBuffer counts them now
	if body.isLong {
		if err := ex.copyRest(resp); err != nil {
			return false, errors.Wrap(errResponseInterrupted, err.Error())
		}
		if ex.isCutByExit(server, resp) {
			return false, errors.Wrap(errResponseInterrupted, "its server ended with its connection")
		}
	}
	return true, nil
}

// copyRest forwards the rest of a long response as it arrives, read ahead of a caller that
// reads slowly, as a stream is.
func (ex *exchange) copyRest(resp *h1.Response) error {
	buffer := make([]byte, blockBytes)
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
