package slowstart

import (
	"context"
	"time"
)

// Lease is the part of the duty lease that an Allotter uses.
type Lease interface {
	// HeldSince returns the time, in the boot-time clock, since which no other node and no
	// earlier process of this node has held the lease, and whether the lease is valid now.
	HeldSince() (since time.Time, valid bool)
	// EnsureHeld acquires or renews the lease for a duty. If the lease is not ready,
	// retryAfter is the time until the next attempt.
	EnsureHeld(ctx context.Context, duty string) (ready bool, retryAfter time.Duration)
	// MarkIdle ends the use of the lease by a duty. The lease is no longer renewed for it.
	MarkIdle(duty string)
}
