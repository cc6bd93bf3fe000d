package objectstore

import (
	"context"
	"math/rand/v2"
	"time"
)

// Pause waits between half and one and a half times a length, at random, and reports whether
// the context is still valid. The spread keeps many nodes from calling at the same moment.
func Pause(ctx context.Context, length time.Duration) bool {
	return Sleep(ctx, length/2+time.Duration(rand.Int64N(int64(length))))
}

// Sleep waits for a length and reports whether the context is still valid. It returns early
// if the context ends.
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
