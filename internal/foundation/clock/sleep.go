package clock

import (
	"context"
	"time"
)

// Sleep waits for the time given, or until the context ends.
func Sleep(ctx context.Context, d Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
