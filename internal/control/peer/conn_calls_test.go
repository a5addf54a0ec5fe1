package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
)

// startCountedServer starts a server whose connections may hold the memory and be conns in number.
func startCountedServer(t *testing.T, memory int64, conns int) (address string, budget *admission.ConnBudget) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := NewServer(hclog.NewNullLogger(), "key")
	budget = admission.NewConnBudget(memory)
	server.SetGroup(budget.NewGroup("peers", conns, false))
	Handle(server, "length", func(_ context.Context, b []byte) (int, error) { return len(b), nil })
	go func() { _ = server.Serve(t.Context(), listener) }()
	return listener.Addr().String(), budget
}

// TestCallsAreCounted guards against calls whose memory isn't counted: one that doesn't fit ends its
// connection, one that does is served, and nothing stays counted but the connections.
func TestCallsAreCounted(t *testing.T) {
	const memory = 16 << 20
	address, budget := startCountedServer(t, memory, 0)
	for name, c := range map[string]struct {
		bytes int
		fits  bool
	}{"fits": {memory / decodedFactor / 2, true}, "doesn't fit": {memory / decodedFactor, false}} {
		t.Run(name, func(t *testing.T) {
			client := NewClient("key", nil)
			defer client.CloseAll()
			n, err := Call[[]byte, int](t.Context(), client, address, "length", make([]byte, c.bytes))
			assert.Equal(t, err == nil, c.fits, "%v", err)
			if c.fits {
				assert.Equal(t, n, c.bytes)
			}
		})
	}
	for start := time.Now(); budget.Used() != 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < 20*time.Second, "%d bytes are held", budget.Used())
	}
}

// TestHandshakeTakesNoLargeFrame guards against large frames from clients that haven't proved that
// they are daemons.
func TestHandshakeTakesNoLargeFrame(t *testing.T) {
	address, _ := startCountedServer(t, 0, 0)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(binary.BigEndian.AppendUint32(nil, maxHandshakeBytes+1))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(handshakeTimeout/2)))
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err, "the connection isn't closed")
}

// TestStalledPeersGiveWay guards against connections that say nothing and so keep peers out.
func TestStalledPeersGiveWay(t *testing.T) {
	const conns = 4
	address, _ := startCountedServer(t, 0, conns)
	for range 3 * conns {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	client := NewClient("key", nil)
	t.Cleanup(client.CloseAll)
	n, err := Call[[]byte, int](t.Context(), client, address, "length", []byte("hello"))
	assert.NilError(t, err)
	assert.Equal(t, n, 5)
}
