package peer

import (
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// startServer starts a server whose handler panics, and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := NewServer(hclog.NewNullLogger(), "key")
	Handle(server, "panic", func(context.Context, []string) (string, error) { panic("unexpected") })
	Handle(server, "echo", func(_ context.Context, s string) (string, error) { return s, nil })
	go func() { _ = server.Serve(t.Context(), listener) }()
	return listener.Addr().String()
}

// TestPanicOfHandlerEndsOneCall checks that an unexpected error in a handler fails its call
// and no other.
func TestPanicOfHandlerEndsOneCall(t *testing.T) {
	address := startServer(t)
	client := NewClient("key", nil)
	_, err := Call[[]string, string](t.Context(), client, address, "panic", nil)
	assert.ErrorContains(t, err, "unexpected")
	reply, err := Call[string, string](t.Context(), client, address, "echo", "hello")
	assert.NilError(t, err)
	assert.Equal(t, reply, "hello")
}

// TestClaimedFrameTakesNoMemory has connections claim frames of nearly the greatest size and
// send nothing more. The claim alone must take no memory.
func TestClaimedFrameTakesNoMemory(t *testing.T) {
	const conns, maxAllocated = 8, 8 << 20
	address := startServer(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range conns {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write(binary.BigEndian.AppendUint32(nil, maxFrameBytes))
		assert.NilError(t, err)
	}
	time.Sleep(200 * time.Millisecond)
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAllocated, "%d bytes", after.TotalAlloc-before.TotalAlloc)
}
