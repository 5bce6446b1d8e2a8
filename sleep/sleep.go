// Package sleep provides a sleep that a context can interrupt.
//
//	for sleep.Context(ctx, time.Second) == nil { poll() }
package sleep

import (
	"context"
	"time"
)

// Context waits for d or until ctx ends. It returns the error of ctx in the latter case, and also if d is not positive and ctx
// has already ended.
func Context(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
