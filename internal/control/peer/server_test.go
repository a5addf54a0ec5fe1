package peer

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// exhaustedListener is a listener whose first Accept fails for lack of file descriptors.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServeOutlastsExhaustedDescriptors lets one Accept fail with EMFILE. Serve must go on
// to serve calls: its return ends the daemon, with all requests in flight.
func TestServeOutlastsExhaustedDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(hclog.NewNullLogger(), "key")
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background(), &exhaustedListener{Listener: listener}) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	assert.NilError(t, handshake(conn, "key", roleClient, roleServer))
	assert.NilError(t, listener.Close())
	assert.NilError(t, <-served)
}
