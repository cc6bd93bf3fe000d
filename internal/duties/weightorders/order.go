package weightorders

// Order is an order to a replica to load a version of a model's weights.
type Order struct {
	Model   string
	Version int64
	// Owner and Token identify the lease under which the order is sent.
	Owner string
	Token uint64
	// Expected is the sequence number that the replica must have to accept the order, so
	// that an order that arrives late has no effect.
	Expected int64
}
