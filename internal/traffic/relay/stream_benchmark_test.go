package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
)

// BenchmarkEventLatency measures the time from when a server sends an event until a caller that
// reads promptly has it, past the bytes that are written directly.
func BenchmarkEventLatency(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(fmt.Sprintf("shared=%v", shared), func(b *testing.B) {
			sentAt := make(chan time.Time, 1)
			received := make(chan struct{})
			f := newFixture(b, streamRoutes(), func(_ int, w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerSigned, "yes")
				_, _ = io.WriteString(w, sizedEvent(1, 2*directBytes))
				_ = http.NewResponseController(w).Flush()
				for i := 2; r.Context().Err() == nil; i++ {
					select {
					case <-received:
					case <-r.Context().Done():
						return
					}
					sentAt <- time.Now()
					_, _ = io.WriteString(w, sizedEvent(i, 80))
					_ = http.NewResponseController(w).Flush()
				}
			})
			f.relay.SetFeatures(loadfeatures.Features{SharedCapacity: shared})
			conn, reader := f.dial("/once/1", "HTTP/1.1", headerRemaining+": 60000")
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				b.Fatal(err)
			}
			lines := bufio.NewReaderSize(response.Body, 64<<10)
			event := func() {
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						b.Fatal(err)
					}
					if line == "\n" {
						return
					}
				}
			}
			event()
			var sum time.Duration
			for range b.N {
				received <- struct{}{}
				event()
				sum += time.Since(<-sentAt)
			}
			b.ReportMetric(float64(sum.Nanoseconds())/float64(b.N), "ns/event")
			_ = conn.Close()
			_ = response.Body.Close()
		})
	}
}
