package weightorders

// WeightStatus is the status of a replica's weights.
type WeightStatus struct {
	// Busy means that the replica is executing an order.
	Busy bool
	// Sequence is the number of orders that the replica has accepted.
	Sequence int64
	// Versions is the loaded version by model.
	Versions map[string]int64
}
