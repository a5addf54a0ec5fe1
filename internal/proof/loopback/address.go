// Package loopback hands out addresses on which the programs of a test listen.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the system gives to outgoing connections, which
// could take one before its program listens.
const (
	firstPort = 20_000
	portCount = 7_000
	// portsApart keeps test processes that run side by side from looking at the
	// same ports; it is prime to portCount.
	portsApart = 131
)

var next atomic.Int64

func init() { next.Store(int64(os.Getpid() * portsApart % portCount)) }

// FreeAddress returns an IP and port on which nobody listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%portCount))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no free port")
	return ""
}
