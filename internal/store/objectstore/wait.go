package objectstore

import (
	"context"
	"math/rand/v2"
	"time"
)

// SleepWithJitter sleeps for a random time between half and one and a half times the given
// duration, so that many nodes don't call at the same moment. It returns early if the
// context ends, and reports whether the context is still valid.
func SleepWithJitter(ctx context.Context, duration time.Duration) bool {
	return Sleep(ctx, duration/2+time.Duration(rand.Int64N(int64(duration))))
}

// Sleep sleeps for the given duration. It returns early if the context ends, and reports
// whether the context is still valid.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
