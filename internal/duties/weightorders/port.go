package weightorders

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// Target is one incarnation of a replica.
type Target struct {
	// ID is that of the replica's start.
	ID string
	// Instance is what the replica answers to, and Born when it started, as it says
	// itself; 0 for unknown.
	Instance string
	Born     int64
	Address  string
}

// InstanceName is what the replica answers to.
func (t Target) InstanceName() string {
	if t.Instance == "" {
		return t.ID
	}
	return t.Instance
}

// Report is what a replica says of itself.
type Report struct {
	// Busy means that an order is under way.
	Busy bool
	// Sequence counts the orders that the replica has taken.
	Sequence int64
	// Versions gives the weight version of each model.
	Versions map[string]int64
}

// Order tells a replica to change a model's weights.
type Order struct {
	Model   string
	Version int64
	// Owner and Token name the lease under which the order is given.
	Owner string
	Token uint64
	// Expected is the replica's sequence that the order holds for, so that an
	// order carried out late does nothing.
	Expected int64
}

// Errors of an order.
var (
	// ErrConflict means that another order is under way or has been taken.
	ErrConflict = merry.Sentinel("another order was first")
	// ErrFenced means that the replica has seen a newer token.
	ErrFenced = merry.Sentinel("fencing token is outdated")
	// ErrOtherReplica means that another incarnation has the address.
	ErrOtherReplica = merry.Sentinel("another replica has the address")
	// ErrRejected means that the replica knows no such order.
	ErrRejected = merry.Sentinel("order rejected")
	// ErrUnanswered means that the order may be carried out, now or later.
	ErrUnanswered = merry.Sentinel("order not answered")
)

// Replicas is how replicas are asked and ordered.
type Replicas interface {
	Report(ctx context.Context, target Target) (Report, error)
	// Order gives an order. It tells whether the order holds already.
	Order(ctx context.Context, target Target, order Order) (holds bool, err error)
}
