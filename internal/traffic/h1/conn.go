package h1

import (
	"bufio"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBufferBytes = 4 << 10 // several events of a stream
	inlineBodyBytes = 2 << 10 // largest body that is written with the header: it fits any socket buffer
	// receiveBufferBytes is the size up to which a server's socket takes a body that the
	// server doesn't read yet.
	receiveBufferBytes = 32 << 10
)

// conn is a connection to a backend server. It carries one call at a time.
type conn struct {
	*duplexConn
	reader    *bufio.Reader
	pool      *pool
	used      bool     // has carried a call
	calls     []string // IDs of the last calls
	longBody  bool     // carries a body beyond receiveBufferBytes
	idleSince time.Time
	keepAlive time.Duration // idle time that the server allows; 0 if it did not say
	patience  patience      // of the current call
	allowance allowance
	head      headHolding // of the current call
}

// rememberedCalls is how many IDs of its calls a connection remembers. A response that a
// server repeats mostly comes with one of the next.
const rememberedCalls = 16

// hasCarried reports whether one of the last calls had the ID. A response to it may come once
// more, and can't be told from that of a further attempt with the same ID.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.calls, id) }

// carry remembers the ID of a call.
func (c *conn) carry(id string) {
	c.used = true
	c.calls = append(c.calls, id)
	c.calls = c.calls[max(len(c.calls)-rememberedCalls, 0):]
}

const (
	// maxHeadBytes bounds the heads of a response and of the informational ones before it.
	maxHeadBytes = 64 << 10
	// maxDiscardedBytes bounds the body of a response to another request.
	maxDiscardedBytes = 1 << 20
)

// errNoAnswer means that the server sends bytes without end that are no answer.
var errNoAnswer = errors.New("the server sends too many bytes before its answer")

// allowance bounds the bytes that are read while the response header is awaited. The zero
// value allows any number.
type allowance struct {
	limited bool
	bytes   int
}

// allow lets n more bytes be read.
func (a *allowance) allow(n int) { a.limited, a.bytes = true, a.bytes+n }

// Read reads from the connection within the call's allowance.
func (c *conn) Read(b []byte) (int, error) {
	if !c.allowance.limited {
		return c.readPatiently(b)
	}
	if c.allowance.bytes <= 0 {
		return 0, errNoAnswer
	}
	n, err := c.readPatiently(b[:min(len(b), c.allowance.bytes)])
	c.allowance.bytes -= n
	if noMemory := c.head.arrived(b[:n]); noMemory != nil {
		return 0, noMemory
	}
	return n, err
}

// patience bounds the waits for a silent server during a call. The zero value waits until
// the read deadline of the connection.
type patience struct {
	deadline time.Time // of the call; no wait exceeds it
	until    time.Time // end of the current wait, whatever arrives
	// extend is called at the end of a wait. It returns how much longer to wait, or 0 to
	// abandon the call. It isn't called again then.
	extend func() time.Duration
	// abandoned calls get no more bytes: the parsers above read on after an error.
	abandoned bool
}

// nextWait returns the end of the wait of a read that begins now.
func (p *patience) nextWait() time.Time { return earlier(p.until, p.deadline) }

// extended returns the end of a wait that goes on, or false if the call is abandoned. It
// asks at every limit before the call's deadline, wherever in a message the server has
// stopped.
func (p *patience) extended() (time.Time, bool) {
	p.abandoned = true
	if !time.Now().Before(p.deadline) {
		return time.Time{}, false
	}
	longer := p.extend()
	if longer <= 0 {
		return time.Time{}, false
	}
	p.abandoned = false
	p.until = earlier(time.Now().Add(longer), p.deadline)
	return p.until, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// abort closes the connection of a call that is given up. What the server hasn't got yet is
// dropped: after a close in order, the kernel would go on delivering it for as long as a
// network failure lasts, and the server would run a request that nobody waits for.
func (c *conn) abort() {
	// Fails only for a connection that is closed.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// limitUnread sets how long the peer may leave sent bytes unread. A peer that doesn't read
// a body which exceeds its receive buffer acknowledges nothing more, and would count as
// unreachable by the usual limit.
func (c *conn) limitUnread(timeout time.Duration) {
	if raw, err := c.SyscallConn(); err == nil {
		// A connection that is closed already fails in its next write.
		_ = setUserTimeout(raw, timeout)
	}
}

// arrivedTimeout is how long a read whose wait is over looks for bytes that have arrived.
const arrivedTimeout = time.Millisecond

// readPatiently reads from the connection and waits as long as the call's patience lasts.
func (c *conn) readPatiently(b []byte) (int, error) {
	if c.patience.extend == nil {
		return c.duplexConn.Read(b)
	}
	if c.patience.abandoned {
		return 0, os.ErrDeadlineExceeded
	}
	_ = c.SetReadDeadline(c.patience.nextWait())
	for {
		n, err := c.readOrPoll(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		until, ok := c.patience.extended()
		if !ok {
			return n, err
		}
		_ = c.SetReadDeadline(until)
	}
}

// readOrPoll reads once. A read whose deadline has passed doesn't look at the socket, though
// the response may have arrived while the process stood still.
func (c *conn) readOrPoll(b []byte) (int, error) {
	n, err := c.duplexConn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(c.patience.deadline) {
		return n, err
	}
	_ = c.SetReadDeadline(time.Now().Add(arrivedTimeout))
	return c.duplexConn.Read(b)
}

// isReusable reports whether the idle connection is open and has no unread bytes.
// Bytes that arrive between two calls belong to neither of them.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	control, err := c.SyscallConn()
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
