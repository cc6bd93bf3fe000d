package weightorders

import "github.com/ansel1/merry/v2"

// Errors of an order to load weights.
var (
	// ErrConflict means that the replica is executing another order or has accepted one
	// since its status was read.
	ErrConflict = merry.Sentinel("another order has been accepted")
	// ErrFenced means that the replica has seen a newer token, or that this node does not
	// hold the lease.
	ErrFenced = merry.Sentinel("fencing token is outdated")
	// ErrOtherReplica means that another replica, or another incarnation of the replica,
	// has the address.
	ErrOtherReplica = merry.Sentinel("another replica has the address")
	// ErrRejected means that the replica rejected the order as invalid.
	ErrRejected = merry.Sentinel("order rejected")
	// ErrUnanswered means that the replica may have accepted the order, or may still do so.
	ErrUnanswered = merry.Sentinel("outcome of order is unknown")
)
