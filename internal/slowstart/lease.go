package slowstart

import (
	"context"
	"time"
)

// Lease is what the allotter needs of the duty lease.
type Lease interface {
	// Held returns since when this process has held the lease without a break, by its
	// steady clock; false unless the lease is valid now.
	Held() (since time.Time, valid bool)
	// Ready has the lease, or tells when to look again.
	Ready(ctx context.Context, duty string) (ready bool, again time.Duration)
	// Idle tells that a duty has nothing to do.
	Idle(duty string)
}
