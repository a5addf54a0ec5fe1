package viewstate

import (
	"fmt"
	"testing"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
)

// BenchmarkSetServers measures adding all servers of a deployment, as a daemon does
// when it starts.
func BenchmarkSetServers(b *testing.B) {
	for _, n := range []int{64, 1_000, 3_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				s := newTestState()
				for i := range n {
					s.SetServer(fleet.Server{
						ID: fmt.Sprintf("engine-%04d", i), Pool: "text", Address: fmt.Sprintf("127.0.0.1:%d", i), DataCentre: "dc-1", Slots: 64,
					})
				}
			}
		})
	}
}
