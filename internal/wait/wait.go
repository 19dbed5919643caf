// Package wait sleeps until a time has passed or a context ends, once or at regular intervals.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It returns false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls work at regular intervals until ctx ends.
func Every(ctx context.Context, interval time.Duration, work func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			work()
		}
	}
}
