package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
)

// Client calls other daemons over one multiplexed connection to each. Safe for concurrent
// use.
type Client struct {
	key              string
	tls              *tls.Config
	memory           readall.Memory // for large responses
	mu               sync.Mutex
	conns            map[string]*clientConn // by address; guarded by mu
	bytesTransferred atomic.Int64           // counts towards the control traffic budget
}

// NewClient returns a client that only calls daemons that have the same key. It uses TLS
// unless config is nil.
func NewClient(key string, config *tls.Config) *Client {
	return &Client{key: key, tls: config, memory: uncounted{}, conns: make(map[string]*clientConn)}
}

// SetMemory makes large responses count in the memory while they are read. It must be called
// before the first call.
func (c *Client) SetMemory(m readall.Memory) { c.memory = m }

// BytesTransferred returns the number of bytes of message bodies sent and received.
func (c *Client) BytesTransferred() int64 { return c.bytesTransferred.Load() }

// Call calls the daemon at the address and waits for its response. The deadline of ctx also
// covers the connection set-up.
func Call[Req, Resp any](ctx context.Context, c *Client, address string, kind Kind, request Req) (Resp, error) {
	var resp Resp
	body, err := encode(request)
	if err != nil {
		return resp, err
	}
	cc, err := c.conn(ctx, address)
	if err != nil {
		return resp, err
	}
	reply, err := cc.call(ctx, kind, body)
	if err != nil {
		return resp, err
	}
	c.bytesTransferred.Add(int64(len(body) + len(reply.Body)))
	if reply.Error != "" {
		return resp, errors.Errorf("peer %s: %s", address, reply.Error)
	}
	return resp, decode(reply.Body, &resp)
}

// conn returns the connection to the address, and opens one if there is none or it has
// failed. Concurrent callers wait for the same connection.
func (c *Client) conn(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	cc, ok := c.conns[address]
	if !ok || cc.failed() {
		cc = newClientConn(address, c.memory)
		c.conns[address] = cc
		go cc.open(c.key, c.tls)
	}
	c.mu.Unlock()
	select {
	case <-cc.ready:
		return cc, cc.failure()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "connect to peer "+address)
	}
}

// CloseAll closes every connection, which fails the calls in flight.
func (c *Client) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.conns {
		cc.fail(errors.New("client is closed"))
	}
}
