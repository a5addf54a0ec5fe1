package h1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialLimit is some dozens of round trips between data centres of a region. A
	// lost packet of the handshake would be sent again after 1 s only; another
	// server is asked sooner.
	dialLimit = 300 * time.Millisecond
	// storeDialLimit covers one such packet, since there is one store only.
	storeDialLimit = 1200 * time.Millisecond
	// unackedLimit closes a connection whose bytes the other side doesn't acknowledge.
	unackedLimit = 1500 * time.Millisecond
	// maxIdleAge bounds the memory of connections that no call uses.
	maxIdleAge = 10 * time.Second
	// foreignAnswers is how many answers of other requests a call passes over.
	foreignAnswers = 3

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which the syscall package doesn't name
)

// keepAlive finds peers that vanished, in about 3 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Client is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	// identify returns the id of the request that an answer belongs to.
	identify func(http.Header) string

	mu    sync.Mutex
	pools map[string]*pool
	swept time.Time
}

// NewClient returns a client that tells by identify to which request an answer
// belongs.
func NewClient(identify func(http.Header) string) *Client {
	return &Client{
		dialer:   newDialer(dialLimit),
		identify: identify,
		pools:    make(map[string]*pool),
		swept:    time.Now(),
	}
}

// NewDialer returns a dialer for a service that has no other address. Its
// connections fail within seconds when the other side is gone.
func NewDialer() net.Dialer { return newDialer(storeDialLimit) }

func newDialer(limit time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         limit,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option only the keep-alive probes find a dead peer.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
			})
		},
	}
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

// sweep closes connections that have been idle for long, once a second at most.
func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	if now.Sub(c.swept) < time.Second {
		c.mu.Unlock()
		return
	}
	c.swept = now
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.closeOlder(now, maxIdleAge)
	}
}

// connect returns a connection for the call. Every error is a *Failure.
func (c *Client) connect(ctx context.Context, call *Call) (*conn, error) {
	now := time.Now()
	c.sweep(now)
	p := c.pool(call.Address)
	if kept := p.take(now, call.FreshConn); kept != nil {
		return kept, nil
	}
	dialCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	raw, err := c.dialer.DialContext(dialCtx, "tcp", call.Address)
	if err != nil {
		var timeout net.Error
		silent := errors.As(err, &timeout) && timeout.Timeout()
		return nil, &CallError{TimedOut: silent, Err: errors.Wrap(err, "connect")}
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), pool: p}, nil
}
