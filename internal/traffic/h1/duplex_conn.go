package h1

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// duplexConn is a connection that is read while a request is still being written to it. A socket
// reports the error that ended its connection only once. If a write gets it, reads see the end of
// the stream, as if the peer had closed the connection in order. Read returns the error then.
type duplexConn struct {
	net.Conn
	writing  sync.Mutex // held during each write
	writeErr error      // of the first write that failed; guarded by writing
}

// Write writes to the connection.
func (c *duplexConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.noteWriteError(err)
	return n, err
}

// writeBuffers writes the buffers, with as few system calls as possible.
func (c *duplexConn) writeBuffers(buffers net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.noteWriteError(err)
	return err
}

func (c *duplexConn) noteWriteError(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read reads from the connection. io.EOF means that the peer has ended its stream in order.
func (c *duplexConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error with which the connection was broken off before the end of the
// stream, or io.EOF. It ends a write that is under way: the peer has answered.
func (c *duplexConn) endError() error {
	// An error means that the connection is closed, which ends the write, too.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF // an error of the socket would have been left to the read
	case errors.Is(c.writeErr, syscall.EPIPE):
		return io.EOF // the peer reset the connection after the end of its stream
	}
	return c.writeErr
}

// SetLinger sets how long closing waits for unsent data, in seconds; with 0 it resets the
// connection. It returns an error for a connection that can't be reset.
func (c *duplexConn) SetLinger(sec int) error {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Errorf("connection of type %T can't be reset", c.Conn)
	}
	return errors.WithStack(tcp.SetLinger(sec))
}

// SyscallConn returns the socket of the connection.
func (c *duplexConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("connection of type %T has no socket", c.Conn)
	}
	return raw.SyscallConn()
}
