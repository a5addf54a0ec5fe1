package clock

import (
	"context"
	"time"
)

// Sleep blocks for d or until ctx is done.
func Sleep(ctx context.Context, d Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
