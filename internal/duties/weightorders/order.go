package weightorders

// Order makes a replica load a model's weights.
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
