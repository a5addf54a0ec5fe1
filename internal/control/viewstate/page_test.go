package viewstate

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
)

// applyPage applies a page of new servers to a view with as many, as at the start of a
// roll-out, and a list of as many hosts.
func applyPage(servers int) {
	server := func(version string, i int) fleet.Server {
		return fleet.Server{
			ID: fmt.Sprintf("i-%s-%08d", version, i), Pool: "text", Address: fmt.Sprintf("10.%s.%d.%d:8000", version[1:], i/200, i%200),
			DataCentre: "dc-1", Version: version, Slots: 12,
		}
	}
	s := newState(hclog.NewNullLogger(), 3_000)
	for _, version := range []string{"v1", "v2"} {
		for i := range servers {
			s.SetServer(server(version, i))
		}
		s.View()
	}
	s.RemoveHosts()
	for i := range servers {
		s.SetHost(fmt.Sprintf("entry-%d", i), fleet.Host{Address: fmt.Sprintf("10.3.%d.%d:7000", i/200, i%200), DataCentre: "dc-1"})
	}
	s.View()
}

func BenchmarkServerPage(b *testing.B) {
	for _, servers := range []int{12, 64, 245, 1_000, 1_800} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				applyPage(servers)
			}
		})
	}
}

// TestPageCostGrowsLinearly checks that the memory that a page of servers takes while it
// is applied grows with the number of servers and not with its square: the stall that a
// page of hundreds of servers causes delays every request.
func TestPageCostGrowsLinearly(t *testing.T) {
	bytes := func(servers int) int64 {
		return testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				applyPage(servers)
			}
		}).AllocedBytesPerOp()
	}
	small, large := bytes(100), bytes(400)
	assert.Assert(t, large < 8*small, "%d bytes for 100 servers, %d for 400", small, large)
}
