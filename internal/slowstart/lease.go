package slowstart

import (
	"context"
	"time"
)

// Lease is what the allotter needs of the duty lease.
type Lease interface {
	// Held returns since when neither another node nor a former process of this one
	// has held the lease, by the steady clock; false unless it is valid now.
	Held() (since time.Time, valid bool)
	// Ready has the lease, or tells when to look again.
	Ready(ctx context.Context, duty string) (ready bool, again time.Duration)
	// Idle tells that a duty has nothing to do.
	Idle(duty string)
}
