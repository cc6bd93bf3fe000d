package autoscale

import (
	"context"
	"fmt"

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
	// Order sends one order. Its error is ErrUnanswered where the platform may have
	// taken it, ErrNoneToHave where the zone has no more replicas to give, or a
	// *RejectedError.
	Order(ctx context.Context, order Order) error
}

var (
	// ErrUnanswered means that the platform may have taken an order, or may yet.
	ErrUnanswered = merry.Sentinel("order not answered")
	// ErrNoneToHave means that no more replicas are to be had in a zone now.
	ErrNoneToHave = merry.Sentinel("no more replicas are to be had in the zone now")
	// errNotHolder means that this node does not hold the duty lease any more.
	errNotHolder = merry.Sentinel("duty lease is not held")
)

// RejectedError is the platform's refusal of an order, which has not been taken.
type RejectedError struct {
	// Status is that of the answer, 0 if the order was never sent.
	Status int
}

// Error names the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the platform refused the order: status %d", e.Status)
}
