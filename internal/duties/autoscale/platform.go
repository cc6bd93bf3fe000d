package autoscale

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// ErrNoneAvailable means that a zone has no more replicas to give now.
var ErrNoneAvailable = merry.Sentinel("the zone has no more replicas available now")

// Platform takes orders.
type Platform interface {
	// Order sends one order. Its error is lease.ErrUnanswered where the platform may have
	// taken it, ErrNoneAvailable where the zone has no more replicas to give, or a
	// *lease.RejectedError.
	Order(ctx context.Context, order Order) error
}
