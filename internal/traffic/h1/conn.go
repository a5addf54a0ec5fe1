package h1

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10 // several events of a stream
	inlineBodyBytes = 2 << 10 // largest body that is written with the header: it fits any socket buffer
)

// conn is a connection to a backend server. It carries one call at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	pool      *pool
	used      bool // has carried a call
	idleSince time.Time
	keepAlive time.Duration // idle time that the server allows; 0 if it did not say
}

// isReusable reports whether the idle connection is open and has no unread bytes.
// Bytes that arrive between two calls belong to neither of them.
func (c *conn) isReusable() bool {
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
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
