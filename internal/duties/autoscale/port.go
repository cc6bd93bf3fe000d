package autoscale

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// Order asks for a number of replicas of a service in a zone.
type Order struct {
	Service string
	Zone    string
	// Replicas is how many the zone is to hold in all.
	Replicas int
	// Holder and Token name the lease under which it is given.
	Holder string
	Token  uint64
}

// Platform takes orders.
type Platform interface {
	// Order sends one order. Its error is lease.ErrUnanswered where the platform may have
	// taken it, ErrNoneToHave where the zone has no more replicas to give, or a
	// *lease.RejectedError.
	Order(ctx context.Context, order Order) error
}

// ErrNoneToHave means that no more replicas are to be had in a zone now.
var ErrNoneToHave = merry.Sentinel("no more replicas are to be had in the zone now")
