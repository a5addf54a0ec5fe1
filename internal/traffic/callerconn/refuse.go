package callerconn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

const (
	// refusalTime bounds how long a refused caller is waited for, and refusedBytes what is still
	// read from it: it may read its answer only once it has sent its request.
	refusalTime  = 500 * time.Millisecond
	refusedBytes = 256 << 10
	millisPerSec = 1000
)

// past is a deadline that makes reads return at once.
var past = time.Unix(1, 0)

// headerArrived counts a part of a header. It returns an error if the header is refused.
func (c *conn) headerArrived(p []byte) *result.Error {
	now, encrypted := c.server.now(), c.tlsConn() != nil
	c.head.add(p, encrypted)
	limit, slack := c.headerLimit(), readBufferBytes
	if encrypted {
		slack += handshakeBytes
	}
	if c.head.bytes > limit+slack {
		c.server.group.Refuse(admission.RefusedHeader, admission.ConnReading, now)
		return result.New(result.HeaderTooLarge, "the header has more than %d bytes", limit)
	}
	if !c.holding.SetPhase(admission.ConnReading, now) || !c.hold(c.head.memory()) {
		return c.server.memoryError()
	}
	c.holding.Moved(len(p), now)
	return nil
}

// hold makes the bytes what the request holds, besides its body. It returns false if they are
// refused.
func (c *conn) hold(bytes int64) bool {
	if bytes > c.held && !c.holding.Grow(bytes-c.held, c.server.now()) {
		return false
	}
	if bytes < c.held {
		c.holding.Shrink(c.held - bytes)
	}
	c.held = bytes
	return true
}

// releaseRequest gives back what the request holds.
func (c *conn) releaseRequest() {
	c.head = headMeter{}
	c.hold(0)
	c.holding.SetPhase(admission.ConnIdle, c.server.now())
}

// beginServing counts a request whose header is complete. It returns an error if it is refused.
func (c *conn) beginServing(r *http.Request, size int) *result.Error {
	c.head = headMeter{}
	phase := admission.ConnServing
	if r.ContentLength != 0 {
		phase = admission.ConnReading
	}
	if !c.hold(headerMemory(r, size)+servingBytes) || !c.holding.SetPhase(phase, c.server.now()) {
		return c.server.memoryError()
	}
	return nil
}

// memoryError returns the answer to a caller that is refused for others.
func (s *Server) memoryError() *result.Error {
	return result.New(result.ConnectionRefused, "the memory or the file descriptors for connections are used up").
		WithRetryAfter(int64(s.group.RetryDelay(s.now())))
}

// end ends the connection for others: at once if there are too many, or else in the goroutine that
// serves it.
func (c *conn) end(r admission.Refusal) {
	c.mu.Lock()
	first := c.refusal == nil
	c.refusal = &r
	c.arrivedAt = time.Time{}
	_ = c.Conn.SetReadDeadline(past) // an error means that it is closed
	c.mu.Unlock()
	if r.Reason != admission.RefusedConnections {
		return
	}
	if first && r.Phase == admission.ConnReading {
		c.answer(c.server.memoryError())
	}
	_ = c.Close()
}

// endedInHeader returns the answer to a request whose connection was ended while its header
// arrived; nil if it wasn't.
func (c *conn) endedInHeader() *result.Error {
	c.mu.Lock()
	ended := c.refusal != nil && c.phase == phaseHeader
	c.mu.Unlock()
	if !ended {
		return nil
	}
	return c.server.memoryError()
}

// wasEnded reports whether the connection was ended for others.
func (c *conn) wasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal != nil
}

// refuseHeader answers a request whose header is not read to its end. It returns an error with
// which the HTTP server closes the connection without an answer of its own.
func (c *conn) refuseHeader(e *result.Error) error {
	c.mu.Lock()
	c.arrivedAt = time.Time{}
	if c.refusal == nil {
		c.refusal = &admission.Refusal{}
	}
	c.drains = true
	c.mu.Unlock()
	c.answer(e)
	return &net.OpError{Op: "read", Net: "tcp", Err: e}
}

// drain discards for a moment what a refused caller still sends, so that it can read its answer, and
// closes the connection. The HTTP server has released what it had parsed by then.
func (c *conn) drain() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTime))
	_, _ = io.CopyN(io.Discard, c.Conn, refusedBytes)
	_ = c.Close()
}

// answer writes an error to the connection, past the HTTP server. It writes nothing in a TLS
// handshake. Errors mean that the caller has gone.
func (c *conn) answer(e *result.Error) {
	var out io.Writer = c.Conn
	if secured := c.tlsConn(); secured != nil {
		if !secured.ConnectionState().HandshakeComplete {
			return
		}
		out = secured
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	var text bytes.Buffer
	recorded := &recorder{header: http.Header{}}
	writeRefusal(recorded, e)
	response := http.Response{
		StatusCode: recorded.status, ProtoMajor: 1, ProtoMinor: 1, Header: recorded.header,
		Body: io.NopCloser(&recorded.body), ContentLength: int64(recorded.body.Len()), Close: true,
	}
	if response.Write(&text) == nil {
		_, _ = out.Write(text.Bytes())
	}
}

// prepareRefusal sets the headers of an error after which the connection is closed.
func prepareRefusal(w http.ResponseWriter, e *result.Error) {
	w.Header().Set("Connection", "close")
	if ms := e.RetryAfterMs(); ms > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(ms)/millisPerSec, 'f', -1, 64))
	}
}

// writeRefusal writes an error after which the connection is closed.
func writeRefusal(w http.ResponseWriter, e *result.Error) {
	prepareRefusal(w, e)
	result.Write(w, e, "")
}

// refuseRequest answers a request whose body is not read, and bounds the time in which the HTTP
// server discards it.
func refuseRequest(w http.ResponseWriter, e *result.Error) {
	// Fails only with test recorders, which have no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTime))
	writeRefusal(w, e)
}

// recorder is a response that is written later.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// errRefused means that the connection was ended for others while a body arrived.
var errRefused = errors.New("the connection is ended for others")
