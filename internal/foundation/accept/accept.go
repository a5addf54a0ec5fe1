// Package accept keeps listeners accepting connections when the process runs short of
// resources for a while.
package accept

import (
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// retryDelay is the delay before Accept is retried after a network error.
	retryDelay = 20 * time.Millisecond
	// logPeriod is the least time between log lines about errors of one listener.
	logPeriod = time.Second
)

// Retrying returns a listener whose Accept retries after network errors: the process is
// out of file descriptors, or the peer has already disconnected. It returns other errors,
// and net.ErrClosed once the listener is closed. Accept must not be called concurrently.
func Retrying(log hclog.Logger, listener net.Listener) net.Listener {
	return &retryingListener{Listener: listener, log: log}
}

type retryingListener struct {
	net.Listener
	log      hclog.Logger
	loggedAt time.Time
	failures int // since the last log line
}

// Accept returns the next connection.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		var netErr net.Error
		if err == nil || errors.Is(err, net.ErrClosed) || !errors.As(err, &netErr) {
			return conn, err
		}
		l.failures++
		if time.Since(l.loggedAt) >= logPeriod {
			l.log.Warn("failed to accept a connection; retrying", "address", l.Addr().String(), "failures", l.failures, "error", err.Error())
			l.loggedAt, l.failures = time.Now(), 0
		}
		time.Sleep(retryDelay)
	}
}
