package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialLimit       = 1 * time.Second
	unansweredLimit = 3 // calls in a row without an answer that end the connection
)

// link is one connection with the calls that wait for answers on it.
type link struct {
	address string
	ready   chan struct{}

	mu         sync.Mutex
	conn       net.Conn
	err        error
	nextID     uint64
	unanswered int
	waiting    map[uint64]chan envelope
}

func newLink(address string) *link {
	return &link{address: address, ready: make(chan struct{}), waiting: make(map[uint64]chan envelope)}
}

func (l *link) open(key string, config *tls.Config) {
	defer close(l.ready)
	conn, err := dial(l.address, config)
	if err != nil {
		l.fail(errors.Wrap(err, "connect to peer"))
		return
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeLimit))
	if err := shakeHands(conn, key, roleCaller, roleAnswerer); err != nil {
		_ = conn.Close()
		l.fail(errors.Wrap(err, "shake hands with peer"))
		return
	}
	_ = conn.SetDeadline(time.Time{})
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	go l.readAll(conn)
}

func dial(address string, config *tls.Config) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialLimit}
	if config == nil {
		return dialer.Dial("tcp", address)
	}
	return tls.DialWithDialer(dialer, "tcp", address, config)
}

func (l *link) openError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

func (l *link) isBroken() bool { return l.openError() != nil }

// fail closes the connection and ends the calls that wait on it.
func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	l.err = err
	if l.conn != nil {
		_ = l.conn.Close()
	}
	for id, waiter := range l.waiting {
		close(waiter)
		delete(l.waiting, id)
	}
}

func (l *link) readAll(conn net.Conn) {
	for {
		var reply envelope
		if err := readFrame(conn, &reply); err != nil {
			l.fail(err)
			return
		}
		l.mu.Lock()
		waiter, ok := l.waiting[reply.ID]
		delete(l.waiting, reply.ID)
		l.unanswered = 0
		l.mu.Unlock()
		if ok {
			waiter <- reply
		}
	}
}

func (l *link) call(ctx context.Context, kind Kind, body []byte) (envelope, error) {
	id, waiter, err := l.send(kind, body)
	if err != nil {
		return envelope{}, err
	}
	select {
	case reply, ok := <-waiter:
		if !ok {
			return envelope{}, errors.Wrap(l.openError(), "peer connection")
		}
		return reply, nil
	case <-ctx.Done():
		l.forget(id)
		return envelope{}, errors.Wrap(ctx.Err(), "call to peer "+l.address)
	}
}

func (l *link) send(kind Kind, body []byte) (uint64, chan envelope, error) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return 0, nil, l.err
	}
	l.nextID++
	id := l.nextID
	waiter := make(chan envelope, 1)
	l.waiting[id] = waiter
	conn := l.conn
	_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
	err := writeFrame(conn, envelope{ID: id, Kind: kind, Body: body})
	l.mu.Unlock()
	if err != nil {
		l.fail(err)
		return 0, nil, err
	}
	return id, waiter, nil
}

// forget drops a call that nobody waits for any more. Several in a row mean
// that the peer is frozen or cut off; a new connection finds out sooner than
// this one whether it is back.
func (l *link) forget(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	l.unanswered++
	broken := l.unanswered >= unansweredLimit
	l.mu.Unlock()
	if broken {
		l.fail(errors.New("peer doesn't answer"))
	}
}
