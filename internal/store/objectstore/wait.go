package objectstore

import (
	"context"
	"math/rand/v2"
	"time"
)

// SleepWithJitter sleeps for a random time between half and one and a half times the given length, so
// that many nodes don't call at the same moment. It returns early if the context ends, and
// reports whether the context is still valid.
func SleepWithJitter(ctx context.Context, length time.Duration) bool {
	return Sleep(ctx, length/2+time.Duration(rand.Int64N(int64(length))))
}

// Sleep sleeps for the given length. It returns early if the context ends, and reports
// whether the context is still valid.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
