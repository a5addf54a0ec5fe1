package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxyMode is what a proxy does with the connections through it.
type proxyMode int

const (
	modeForward       proxyMode = iota
	modeDelay                   // each chunk of data is delayed by proxyDelay
	modeDrop                    // data is dropped in both directions; connections stay open
	modeDropResponses           // data from the target is dropped
	modeReset                   // open connections are reset, new ones closed at once
)

const proxyDelay = 80 * time.Millisecond

// proxy forwards TCP connections to a target.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   proxyMode
	conns  map[net.Conn]struct{}
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		p.resetConnections()
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == modeReset {
		p.resetConnections()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetConnections closes all connections with a TCP reset.
func (p *proxy) resetConnections() {
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

func (p *proxy) serve(client net.Conn) {
	if p.currentMode() == modeReset {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(target, client, modeDrop, modeDrop) })
	directions.Go(func() { p.forward(client, target, modeDrop, modeDropResponses) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, target)
	p.mu.Unlock()
}

// forward copies data until one side closes. In either of the two given modes it drops the
// data, and delays the end of the connection until the mode changes.
func (p *proxy) forward(to, from net.Conn, dropMode, otherDropMode proxyMode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		m := p.currentMode()
		if m == modeDelay {
			time.Sleep(proxyDelay)
		}
		if m == dropMode || m == otherDropMode {
			if err == nil {
				continue
			}
			for latest := p.currentMode(); latest == dropMode || latest == otherDropMode; latest = p.currentMode() {
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
