package autoscale

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// ErrNoCapacity means that a zone has no more replicas available at present.
var ErrNoCapacity = merry.Sentinel("zone has no more replicas available")

// Platform accepts orders of replicas.
type Platform interface {
	// Order sends one order. The error is lease.ErrUnanswered if the platform may have
	// accepted it, ErrNoCapacity if the zone has no more replicas available, or a
	// *lease.RejectedError.
	Order(ctx context.Context, order Order) error
}
