package slowstart

import (
	"context"
	"time"
)

// Lease is what the allotter needs of the duty lease.
type Lease interface {
	// Held returns since when neither another node nor a former process of this one
	// has held the lease, by the boot-time clock, and whether it is valid now.
	Held() (since time.Time, valid bool)
	// Ready acquires or renews the lease for a duty, or tells when to look again.
	Ready(ctx context.Context, duty string) (ready bool, again time.Duration)
	// Idle says that a duty has nothing to do, so that the lease need not be kept for it.
	Idle(duty string)
}
