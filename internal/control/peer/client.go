package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Client calls other daemons, over one connection to each.
type Client struct {
	key   string
	tls   *tls.Config
	mu    sync.Mutex
	links map[string]*link
	sent  atomic.Int64 // bytes of calls and answers, for the control budget
}

// NewClient returns a client that talks to holders of the key, over TLS where
// a configuration is given.
func NewClient(key string, config *tls.Config) *Client {
	return &Client{key: key, tls: config, links: make(map[string]*link)}
}

// BytesTransferred returns how many bytes of message bodies were sent and received.
func (c *Client) BytesTransferred() int64 { return c.sent.Load() }

// Call makes one call to the daemon at the address and waits for its answer.
func Call[Request, Answer any](ctx context.Context, c *Client, address string, kind Kind, request Request) (Answer, error) {
	var answer Answer
	body, err := encode(request)
	if err != nil {
		return answer, err
	}
	l, err := c.link(ctx, address)
	if err != nil {
		return answer, err
	}
	reply, err := l.call(ctx, kind, body)
	if err != nil {
		return answer, err
	}
	c.sent.Add(int64(len(body) + len(reply.Body)))
	if reply.Error != "" {
		return answer, errors.Errorf("peer %s: %s", address, reply.Error)
	}
	return answer, decode(reply.Body, &answer)
}

// link returns the open connection to the address, or makes one. Callers that
// come while it is being made wait for it.
func (c *Client) link(ctx context.Context, address string) (*link, error) {
	c.mu.Lock()
	l, ok := c.links[address]
	if !ok || l.isBroken() {
		l = newLink(address)
		c.links[address] = l
		go l.open(c.key, c.tls)
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.openError()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "connect to peer "+address)
	}
}

// CloseAll closes every connection.
func (c *Client) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.fail(errors.New("client is closed"))
	}
}
