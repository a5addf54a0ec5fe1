package callers

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// rounds is how often a client of a crowd connects again after its connection was closed.
	rounds = 3
	// sendTimeout ends a client's sending to a daemon that neither reads nor closes.
	sendTimeout = 20 * time.Second
	// writeBytes is the size of one write, at least.
	writeBytes = 16 << 10
)

// script is what a client sends on one connection, which it then keeps open.
type script struct {
	start  string
	repeat func(i int) string // the i-th of the parts that follow; nil for none
	parts  int
	end    string
	reads  bool // reads the responses
}

// send writes the script. It returns an error if the connection was closed.
func (s script) send(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	w := bufio.NewWriterSize(conn, writeBytes)
	if _, err := w.WriteString(s.start); err != nil {
		return err
	}
	for i := range s.parts {
		if _, err := w.WriteString(s.repeat(i)); err != nil {
			return err
		}
	}
	if _, err := w.WriteString(s.end); err != nil {
		return err
	}
	return w.Flush()
}

// crowd is a number of clients with one connection each.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	sent  int // scripts that were sent to the end
}

// startCrowd has the clients send the script and returns once all have sent or given up. Their
// connections stay open until the test ends or leave is called.
func startCrowd(t *testing.T, clients int, address string, s script) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.leave)
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			for range rounds {
				if c.send(address, s) {
					return
				}
			}
		})
	}
	sending.Wait()
	t.Logf("%d of %d clients have sent all", c.sent, clients)
	return c
}

// send reports whether the script was sent and the connection stays open.
func (c *crowd) send(address string, s script) bool {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return false
	}
	if s.reads {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	if err := s.send(conn); err != nil {
		_ = conn.Close()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	c.sent++
	return true
}

// leave closes the connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// same returns a part that doesn't vary.
func same(part string) func(int) string { return func(int) string { return part } }

// chunk returns a chunk of a body of x.
func chunk(size string, bytes int) string { return size + "\r\n" + strings.Repeat("x", bytes) + "\r\n" }
