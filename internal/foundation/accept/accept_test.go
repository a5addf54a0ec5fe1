package accept

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// failingListener returns the errors in their order, and then a connection.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptRetries checks which errors of a listener Accept outlasts.
func TestAcceptRetries(t *testing.T) {
	acceptError := func(code syscall.Errno) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", code)}
	}
	broken := errors.New("broken")
	cases := map[string]struct {
		failures []error
		want     error
	}{
		"no descriptors":    {[]error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE)}, nil},
		"peer disconnected": {[]error{acceptError(syscall.ECONNABORTED)}, nil},
		"closed":            {[]error{&net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}}, net.ErrClosed},
		"other":             {[]error{broken}, broken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := Retrying(hclog.NewNullLogger(), &failingListener{failures: c.failures}).Accept()
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, conn != nil, c.want == nil)
		})
	}
}
