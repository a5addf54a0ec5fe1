package h1

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10 // several events of a stream
	inlineBodyBytes = 2 << 10 // bodies up to this fit any socket buffer and are written with the head
)

// conn is one connection to a backend server. It carries one call at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	pool   *pool
	used   bool
	idleAt time.Time     // when its last call ended
	keep   time.Duration // how long the server keeps it idle, if it said so
}

// isQuiet tells whether the idle connection is open and holds no bytes. Bytes
// that arrive between two calls belong to neither.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
