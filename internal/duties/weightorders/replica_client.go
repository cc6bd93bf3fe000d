package weightorders

import "context"

// ReplicaClient is a client of the replicas.
type ReplicaClient interface {
	// WeightStatus returns the status of a replica's weights.
	WeightStatus(ctx context.Context, target Target) (WeightStatus, error)
	// OrderLoad sends an order. It returns whether the replica has the version already. The
	// error is one of this package if the replica responded or may have accepted the order.
	OrderLoad(ctx context.Context, target Target, order LoadOrder) (alreadyLoaded bool, err error)
}
