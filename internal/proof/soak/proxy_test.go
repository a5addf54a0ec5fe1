package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mood is what a proxy does to the connections through it.
type mood int

const (
	open    mood = iota
	slow         // bytes are late
	silent       // bytes are swallowed both ways; connections stay open
	oneWay       // what the target answers is swallowed
	refusal      // connections are reset, new ones too
)

// proxyDelay is how late a slow proxy passes bytes on.
const proxyDelay = 80 * time.Millisecond

// proxy passes connections on to a target that may change.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mood   mood
	conns  map[net.Conn]struct{}
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		p.reset()
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mood) {
	p.mu.Lock()
	p.mood = m
	p.mu.Unlock()
	if m == refusal {
		p.reset()
	}
}

func (p *proxy) now() mood {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mood
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(caller net.Conn) {
	if p.now() == refusal {
		_ = caller.Close()
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, caller, silent, silent) })
	both.Go(func() { p.copy(caller, target, silent, oneWay) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy passes bytes on until one side closes. In either of the two moods they are
// swallowed, and so is the end of the connection.
func (p *proxy) copy(to, from net.Conn, swallow, swallowToo mood) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		m := p.now()
		if m == slow {
			time.Sleep(proxyDelay)
		}
		if m == swallow || m == swallowToo {
			if err == nil {
				continue
			}
			for now := p.now(); now == swallow || now == swallowToo; now = p.now() {
				time.Sleep(proxyDelay)
			}
		} else if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
