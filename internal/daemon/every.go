package daemon

import (
	"context"
	"time"
)

// every calls f once per interval until the context ends, for the first time after one interval. A call that
// takes longer than the interval delays the next one.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
