package weightorders

import "github.com/ansel1/merry/v2"

// Errors of an order.
var (
	// ErrConflict means that another order is under way or has been taken.
	ErrConflict = merry.Sentinel("another order was first")
	// ErrFenced means that the replica has seen a newer token, or that this node does
	// not hold the lease.
	ErrFenced = merry.Sentinel("fencing token is outdated")
	// ErrOtherReplica means that another start of a replica has the address.
	ErrOtherReplica = merry.Sentinel("another replica has the address")
	// ErrRejected means that the replica knows no such order.
	ErrRejected = merry.Sentinel("order rejected")
	// ErrUnanswered means that the order may be carried out, now or later.
	ErrUnanswered = merry.Sentinel("order not answered")
)
