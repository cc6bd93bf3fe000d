package slowstart

import (
	"context"
	"time"
)

// Lease is what an Allotter needs of the duty lease.
type Lease interface {
	// Held returns since when neither another node nor a former process of this one
	// has held the lease, by the boot-time clock, and whether it is valid now.
	Held() (since time.Time, valid bool)
	// Ready acquires or renews the lease for a duty. If it is not ready, again is the time
	// until the next try.
	Ready(ctx context.Context, duty string) (ready bool, again time.Duration)
	// Idle releases the duty's claim on the lease, which need not be renewed for it.
	Idle(duty string)
}
