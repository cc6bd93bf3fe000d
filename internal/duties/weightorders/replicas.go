package weightorders

import "context"

// Replicas is a client of the replicas.
type Replicas interface {
	// Report returns the status of a replica's weights.
	Report(ctx context.Context, target Target) (Report, error)
	// Order sends an order. It returns whether the replica has the version already. The
	// error is one of this package if the replica responded or may have accepted the order.
	Order(ctx context.Context, target Target, order Order) (holds bool, err error)
}
