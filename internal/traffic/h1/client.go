package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
)

const (
	// dialTimeout allows for some dozens of round trips between the data centres of
	// a region. It is below the 1 s after which TCP retransmits a lost handshake
	// packet: trying another server is quicker.
	dialTimeout = 300 * time.Millisecond
	// storeDialTimeout covers one such retransmission, since there is only one store.
	storeDialTimeout = 1200 * time.Millisecond
	// unackedTimeout is the time after which a connection is closed whose peer does
	// not acknowledge the bytes sent.
	unackedTimeout = 1500 * time.Millisecond
	// maxIdleTime bounds the memory that unused connections take.
	maxIdleTime = 10 * time.Second
	// maxResponsesRead bounds the responses that a call reads in search of its own.
	maxResponsesRead = 3

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not define
)

// keepAlive detects unreachable peers within about 3 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Client sends calls over pooled connections. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	// requestID returns the ID of the request that a response header belongs to.
	requestID func(http.Header) string
	memory    readall.Memory // for heads; nil counts nothing

	mu        sync.Mutex
	pools     map[string]*pool // by address
	lastSweep time.Time
}

// NewClient returns a client that uses requestID to match the header of a response
// to its request.
func NewClient(requestID func(http.Header) string) *Client {
	return &Client{
		dialer:    newDialer(dialTimeout),
		requestID: requestID,
		pools:     make(map[string]*pool),
		lastSweep: time.Now(),
	}
}

// SetMemory makes unusually large heads count in the memory until their responses are closed. It
// must be called before the first call.
func (c *Client) SetMemory(m readall.Memory) { c.memory = m }

// NewDialer returns a dialer for a service with a single address, such as the
// store. Its connections fail within seconds when the peer becomes unreachable.
func NewDialer() net.Dialer { return newDialer(storeDialTimeout) }

func newDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, unackedTimeout)
		},
	}
}

// setUserTimeout sets how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(fd uintptr) {
		// If the option can't be set, keep-alive probes still detect a dead peer.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}

// Refuses reports whether nothing listens at the address, as after a crash of the server.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = raw.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CheckHealth returns the header of the response to a health check, whatever its status. It uses
// a new connection; with an empty path it only waits there. Errors are of type *CallError: Sent
// means that there was a connection, and TimedOut that the server kept it open until the end.
func (c *Client) CheckHealth(ctx context.Context, address, path string, end time.Time) (http.Header, error) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		wasReset := errors.Is(err, syscall.ECONNRESET) // once it was open, but before the dialer looked
		return nil, &CallError{Sent: wasReset, TimedOut: isTimeout(err), Err: errors.Wrap(err, "connect")}
	}
	closeConn := func() { _ = raw.Close() } // the server needs no more
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	_ = raw.SetDeadline(end)
	header, err := c.readHealth(raw, address, path)
	if err != nil {
		isOpen := errors.Is(ctx.Err(), context.DeadlineExceeded) || isTimeout(err)
		return nil, &CallError{Sent: true, TimedOut: isOpen, Err: errors.Wrap(err, "health check")}
	}
	return header, nil
}

// readHealth sends a health check and returns the header of the response.
func (c *Client) readHealth(raw net.Conn, address, path string) (http.Header, error) {
	if path != "" {
		if _, err := io.WriteString(raw, "GET "+path+" HTTP/1.1\r\nHost: "+address+"\r\nConnection: close\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	head := headHolding{memory: c.memory}
	defer head.release()
	response, err := readHead(bufio.NewReader(io.LimitReader(&headReader{raw, &head}, maxHeadBytes)), nil)
	if err != nil {
		return nil, err
	}
	return response.Header, response.Body.Close()
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// sweep closes connections idle for longer than maxIdleTime. It runs at most once
// per second.
func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	if now.Sub(c.lastSweep) < time.Second {
		c.mu.Unlock()
		return
	}
	c.lastSweep = now
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.closeIdle(now, maxIdleTime)
	}
}

// connect returns a pooled or new connection for the call. Errors are of type
// *CallError.
func (c *Client) connect(ctx context.Context, call *Call) (*conn, error) {
	now := time.Now()
	c.sweep(now)
	p := c.pool(call.Address)
	if pooled := p.get(now, call.ID, call.FreshConn); pooled != nil {
		return pooled, nil
	}
	dialCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	raw, err := c.dialer.DialContext(dialCtx, "tcp", call.Address)
	if err != nil {
		return nil, &CallError{TimedOut: isTimeout(err), Err: errors.Wrap(err, "connect")}
	}
	opened := &conn{duplexConn: &duplexConn{Conn: raw}, pool: p, head: headHolding{memory: c.memory}}
	opened.reader = bufio.NewReaderSize(opened, readBufferBytes)
	return opened, nil
}
