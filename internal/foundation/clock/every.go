package clock

import (
	"context"
	"time"
)

// Every calls work once a period until the context ends.
func Every(ctx context.Context, period Millis, work func()) {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}
