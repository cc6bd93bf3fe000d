package weightorders

import "context"

// Replicas asks and orders replicas.
type Replicas interface {
	// Report asks a replica about its weights.
	Report(ctx context.Context, target Target) (Report, error)
	// Order gives an order. It returns whether the replica has the version already. Its
	// error is one of this package's, where the replica answered or may have taken it.
	Order(ctx context.Context, target Target, order Order) (holds bool, err error)
}
