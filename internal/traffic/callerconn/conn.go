package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// phase is what the server waits for on a connection.
type phase int

const (
	phaseHeader phase = iota // the rest of a request header, or the first one
	phaseIdle                // the next request
	phaseActive              // nothing: a request is being served
)

// conn is a caller's connection. It limits how long the caller may be idle and may take to
// send a header, by limits that may be raised meanwhile.
type conn struct {
	net.Conn
	server  *Server
	holding *admission.ConnHolding // nil if nothing is counted
	// head and held are used by the goroutine that reads and serves requests.
	head headMeter
	held int64 // bytes, by the request

	mu        sync.Mutex              // guards the fields below
	fail      context.CancelCauseFunc // ends the context of the connection's requests; nil without a server
	secured   *tls.Conn               // on top of this connection; nil without TLS
	limits    catalog.Limits
	phase     phase
	since     time.Time          // when the phase began
	arrivedAt time.Time          // first bytes of a request that has not reached the handler; zero if there is none
	refusal   *admission.Refusal // why the connection is ended; nil if it isn't
	drains    bool               // its caller may still read an answer; see drain
}

// newConn returns a connection that is in the server's set until it is closed; nil if there is no
// room for it.
func newConn(c net.Conn, s *Server) *conn {
	accepted := &conn{Conn: c, server: s, limits: s.currentLimits(), since: time.Now()}
	accepted.holding = s.group.NewHolding(accepted.end)
	if !accepted.holding.Open(connBytes, s.now()) {
		return nil
	}
	s.conns.add(accepted)
	return accepted
}

// Close closes the connection, and reports the request that it ends before the handler. One that was
// refused is closed a moment later, unless Close is called again.
func (c *conn) Close() error {
	c.mu.Lock()
	arrivedAt, fail, drains := c.arrivedAt, c.fail, c.drains
	c.arrivedAt, c.drains = time.Time{}, false
	c.mu.Unlock()
	if fail != nil {
		fail(net.ErrClosed) // releases the context
	}
	if !arrivedAt.IsZero() && c.server.OnDropped != nil {
		c.server.OnDropped(time.Since(arrivedAt))
	}
	if drains {
		go c.drain()
		return nil
	}
	err := c.Conn.Close()
	c.server.conns.remove(c)
	c.holding.Close()
	return err
}

// Read reads from the connection. It returns a timeout error once a limit of time has passed. A
// request whose header is refused is answered here, before the HTTP server has parsed it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if err := c.setDeadline(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			if refused := c.bytesArrived(p[:n]); refused != nil {
				return 0, c.refuseHeader(refused)
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.noteFailure(err)
			return n, err
		}
		if refused := c.endedInHeader(); refused != nil {
			return 0, c.refuseHeader(refused)
		}
		if !c.wasExtended() {
			return n, err
		}
	}
}

// noteFailure makes the error the cause with which the context of the request ends.
func (c *conn) noteFailure(err error) {
	c.mu.Lock()
	fail := c.fail
	c.mu.Unlock()
	if err != nil && fail != nil {
		fail(errors.Wrap(err, "read from the caller"))
	}
}

// attach sets what the HTTP server has put on top of the connection, before it reads.
func (c *conn) attach(fail context.CancelCauseFunc, secured *tls.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail, c.secured = fail, secured
}

// tlsConn returns the TLS connection on top of this one; nil without TLS.
func (c *conn) tlsConn() *tls.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.secured
}

// applyLimits applies the present limits to a read that is under way. An idle connection of a
// server that stops ends by that, unless a request arrives first.
func (c *conn) applyLimits() {
	// An error means that the connection is closed, which the read returns.
	_ = c.setDeadline()
}

// stopHeaderTime is the most that a server which stops waits for a request header, and for the
// first request of a connection: callers open one in order to send.
const stopHeaderTime = 500 * time.Millisecond

// setDeadline sets the read deadline of the phase.
func (c *conn) setDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil {
		return c.Conn.SetReadDeadline(past)
	}
	if c.phase == phaseActive {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline())
}

// deadline returns when the phase must end.
func (c *conn) deadline() time.Time {
	c.limits = larger(c.limits, c.server.currentLimits())
	stopping := c.server.stopping.Load()
	switch {
	case c.phase == phaseIdle && stopping:
		return c.since
	case c.phase == phaseIdle:
		return c.since.Add(c.limits.IdleTimeout.Duration() + idleSlack)
	case stopping:
		return c.since.Add(min(c.limits.HeaderTimeout.Duration(), stopHeaderTime))
	}
	return c.since.Add(c.limits.HeaderTimeout.Duration())
}

// wasExtended reports whether the phase may go on after a read reached its deadline.
func (c *conn) wasExtended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal == nil && c.phase != phaseActive && time.Now().Before(c.deadline())
}

// bytesArrived counts what has arrived. It ends the idle phase: a request header begins. It returns
// an error if the header is refused.
func (c *conn) bytesArrived(p []byte) *result.Error {
	now := time.Now()
	c.mu.Lock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHeader, now
	}
	if c.phase == phaseHeader && c.arrivedAt.IsZero() {
		c.arrivedAt = now
	}
	inHeader := c.phase == phaseHeader
	c.mu.Unlock()
	if !inHeader {
		c.holding.Moved(len(p), c.server.now())
		return nil
	}
	return c.headerArrived(p)
}

// handlerCalled notes that the request has reached the handler.
func (c *conn) handlerCalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivedAt = time.Time{}
}

// requestBegan ends the limits of time, until requestEnded.
func (c *conn) requestBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseActive
	if c.refusal != nil {
		return
	}
	// An error means that the connection is closed, which the next read returns.
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// headerLimit returns the size that a request header may have, in bytes.
func (c *conn) headerLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = larger(c.limits, c.server.currentLimits())
	return c.limits.HeaderBytes
}

// requestEnded begins the idle phase.
func (c *conn) requestEnded() {
	c.releaseRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseIdle, time.Now()
}

// SetReadDeadline sets the deadline of reads. The HTTP server, which has no limits of its
// own, would also remove those of the phase.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil || (t.IsZero() && c.phase != phaseActive) {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, so that a caller which still sends a body can read
// the response. It has no effect on a connection that can't close one side.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets how long closing waits for unsent data, in seconds; with 0 it resets the
// connection. It returns an error for a connection that can't be reset.
func (c *conn) SetLinger(sec int) error {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Errorf("connection of type %T can't be reset", c.Conn)
	}
	return errors.WithStack(tcp.SetLinger(sec))
}
