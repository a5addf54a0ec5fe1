package clock

import (
	"context"
	"time"
)

// Every calls fn once per period until ctx is done; the first call comes after one
// period. Ticks that fn is too slow for are dropped.
func Every(ctx context.Context, period Millis, fn func()) {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}
