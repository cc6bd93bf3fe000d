package weightorders

// LoadOrder is an order to a replica to load a version of a model's weights.
type LoadOrder struct {
	Model   string
	Version int64
	// Holder and Token identify the lease under which the order is sent.
	Holder string
	Token  uint64
	// ExpectedSequence is the sequence number that the replica must have to accept the
	// order, so that an order that arrives late has no effect.
	ExpectedSequence int64
}
