package callerconn

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// requestBody is a request's body on a connection.
type requestBody struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body. At its end, the request begins to be served.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		if !b.conn.bodyEnded() {
			return n, errRefused
		}
	case err != nil && b.conn.wasEnded():
		return n, errRefused
	}
	return n, err
}

// bodyEnded removes the limit of time for the body. It returns false if the connection was ended.
func (c *conn) bodyEnded() bool {
	if !c.holding.SetPhase(admission.ConnServing, c.server.now()) {
		return false
	}
	// An error means that the connection is closed, which the next read returns.
	_ = c.SetReadDeadline(time.Time{})
	return true
}

// bodyMemory counts the body of the connection's request.
type bodyMemory struct{ conn *conn }

func (m bodyMemory) Grow(bytes int64) bool {
	if m.conn == nil {
		return true
	}
	if !m.conn.holding.Grow(bytes, m.conn.server.now()) {
		return false
	}
	m.conn.held += bytes
	return true
}

func (m bodyMemory) Shrink(bytes int64) {
	if m.conn != nil {
		m.conn.holding.Shrink(bytes)
		m.conn.held -= bytes
	}
}

// ReadBody reads the body of a request, whose memory counts until its response has ended. limit is
// the largest size in bytes, and timeout the time for all of it. It returns BodyTooLarge,
// SlowRequest, MalformedRequest or, if the connection is ended for others, ConnectionRefused. The
// connection is closed after the answer then.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, *result.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	controller := http.NewResponseController(w)
	// Fails only with test recorders, which have no deadlines; the size limit applies to
	// them too.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	if r.ContentLength > limit {
		// A caller may read the answer only once it has sent its body.
		_, _ = io.CopyN(io.Discard, r.Body, min(r.ContentLength, 2*limit))
		return nil, rejectBody(w, result.New(result.BodyTooLarge, "the body has %d bytes, more than %d", r.ContentLength, limit))
	}
	body, err := readall.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, bodyMemory{c})
	if err == nil {
		return body, nil
	}
	return nil, rejectBody(w, c.bodyError(err, limit, timeout))
}

// bodyError returns the answer to a request whose body can't be read.
func (c *conn) bodyError(err error, limit int64, timeout time.Duration) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, readall.ErrNoMemory), errors.Is(err, errRefused):
		return c.server.memoryError()
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "the body has more than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		if c != nil {
			c.server.group.Refuse(admission.RefusedBodyTime, admission.ConnReading, c.server.now())
		}
		return result.New(result.SlowRequest, "the body did not arrive within %d ms", timeout.Milliseconds())
	}
	return result.New(result.MalformedRequest, "failed to read the body: %v", err)
}

// rejectBody prepares the answer to a request whose body is not read to its end.
func rejectBody(w http.ResponseWriter, e *result.Error) *result.Error {
	prepareRefusal(w, e)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTime))
	return e
}
