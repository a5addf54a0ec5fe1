package h1

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusesSoon guards against a server that is exiting counting as one that goes on, because
// its listener is closed after the connection of an answer.
func TestRefusesSoon(t *testing.T) {
	cases := map[string]struct {
		closeAfter time.Duration // 0: the connection stays open
		listens    bool
		want       bool
	}{
		"doesn't listen":   {0, false, true},
		"goes on":          {0, true, false},
		"exits a bit late": {10 * time.Millisecond, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			if !c.listens {
				assert.NilError(t, listener.Close())
			}
			go func() {
				conn, err := listener.Accept()
				if err == nil && c.closeAfter > 0 {
					time.Sleep(c.closeAfter)
					_ = conn.Close()
				}
			}()
			client := NewClient(func(http.Header) string { return "" })
			const wait = 500 * time.Millisecond
			assert.Equal(t, client.RefusesSoon(t.Context(), listener.Addr().String(), wait), c.want)
		})
	}
}
