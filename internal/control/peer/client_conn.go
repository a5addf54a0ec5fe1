package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
)

const (
	dialTimeout        = 1 * time.Second
	maxUnansweredCalls = 3 // consecutive calls without a response that end the connection
)

// clientConn is one connection with its calls in flight. Safe for concurrent use.
type clientConn struct {
	address string
	memory  readall.Memory
	ready   chan struct{} // closed once the connection is open or has failed

	// mu guards the fields below and serialises writes to conn.
	mu         sync.Mutex
	conn       net.Conn
	err        error // why the connection failed
	nextID     uint64
	unanswered int                      // consecutive calls without a response
	pending    map[uint64]chan envelope // by call ID
}

func newClientConn(address string, memory readall.Memory) *clientConn {
	return &clientConn{address: address, memory: memory, ready: make(chan struct{}), pending: make(map[uint64]chan envelope)}
}

// open connects and authenticates. It must be called once.
func (cc *clientConn) open(key string, config *tls.Config) {
	defer close(cc.ready)
	conn, err := dial(cc.address, config)
	if err != nil {
		cc.fail(errors.Wrap(err, "connect to peer"))
		return
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := handshake(conn, key, roleClient, roleServer); err != nil {
		_ = conn.Close()
		cc.fail(errors.Wrap(err, "handshake with peer"))
		return
	}
	_ = conn.SetDeadline(time.Time{})
	cc.mu.Lock()
	cc.conn = conn
	cc.mu.Unlock()
	go cc.readLoop(conn)
}

func dial(address string, config *tls.Config) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if config == nil {
		return dialer.Dial("tcp", address)
	}
	return tls.DialWithDialer(dialer, "tcp", address, config)
}

// failure returns the error that ended the connection, or nil.
func (cc *clientConn) failure() error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.err
}

func (cc *clientConn) failed() bool { return cc.failure() != nil }

// fail closes the connection and fails the pending calls. Only the first error is kept.
func (cc *clientConn) fail(err error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return
	}
	cc.err = err
	if cc.conn != nil {
		_ = cc.conn.Close()
	}
	for id, result := range cc.pending {
		close(result)
		delete(cc.pending, id)
	}
}

// readLoop dispatches responses to the pending calls until the connection fails.
func (cc *clientConn) readLoop(conn net.Conn) {
	for {
		reply, err := readReply(conn, cc.memory)
		if err != nil {
			cc.fail(err)
			return
		}
		cc.mu.Lock()
		result, ok := cc.pending[reply.ID]
		delete(cc.pending, reply.ID)
		cc.unanswered = 0
		cc.mu.Unlock()
		if ok {
			result <- reply
		}
	}
}

// usualReplyBytes of a response aren't counted.
const usualReplyBytes = 64 << 10

// readReply reads one response. A large one counts in the memory until it is decoded.
func readReply(r io.Reader, memory readall.Memory) (reply envelope, err error) {
	size, err := readFrameSize(r, maxFrameBytes)
	if err != nil {
		return reply, err
	}
	if size <= usualReplyBytes {
		memory = uncounted{}
	}
	held, err := readFrameBody(r, size, &reply, memory)
	memory.Shrink(held)
	return reply, err
}

func (cc *clientConn) call(ctx context.Context, kind Kind, body []byte) (envelope, error) {
	id, result, err := cc.send(kind, body)
	if err != nil {
		return envelope{}, err
	}
	select {
	case reply, ok := <-result:
		if !ok {
			return envelope{}, errors.Wrap(cc.failure(), "peer connection")
		}
		return reply, nil
	case <-ctx.Done():
		cc.abandon(id)
		return envelope{}, errors.Wrap(ctx.Err(), "call to peer "+cc.address)
	}
}

func (cc *clientConn) send(kind Kind, body []byte) (uint64, chan envelope, error) {
	cc.mu.Lock()
	if cc.err != nil {
		cc.mu.Unlock()
		return 0, nil, cc.err
	}
	cc.nextID++
	id := cc.nextID
	result := make(chan envelope, 1)
	cc.pending[id] = result
	conn := cc.conn
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := writeFrame(conn, envelope{ID: id, Kind: kind, Body: body})
	cc.mu.Unlock()
	if err != nil {
		cc.fail(err)
		return 0, nil, err
	}
	return id, result, nil
}

// abandon removes a call that was cancelled or timed out. Several in a row mean that the
// peer hangs or is unreachable. The connection is then closed, since dialling anew detects
// the peer's return sooner.
func (cc *clientConn) abandon(id uint64) {
	cc.mu.Lock()
	delete(cc.pending, id)
	cc.unanswered++
	unresponsive := cc.unanswered >= maxUnansweredCalls
	cc.mu.Unlock()
	if unresponsive {
		cc.fail(errors.New("peer does not respond"))
	}
}
