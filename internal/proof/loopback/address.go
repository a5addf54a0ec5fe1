// Package loopback provides free addresses for the programs that a test starts.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports are below the system's ephemeral range: an outgoing connection could otherwise
// use a port before the program listens on it.
const (
	firstPort = 20_000
	portCount = 7_000
	// processStride spreads the first ports of test processes that run in parallel. It has
	// no common factor with portCount.
	processStride = 131
)

var lastOffset atomic.Int64

func init() { lastOffset.Store(int64(os.Getpid() * processStride % portCount)) }

// FreeAddress returns an IP address and port that no program listens on. It fails the test
// if there is none. Safe for concurrent use.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+lastOffset.Add(1)%portCount))
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
