package weightorders

// Report is a replica's answer about its weights.
type Report struct {
	// Busy means that an order is under way.
	Busy bool
	// Sequence counts the orders that the replica has taken.
	Sequence int64
	// Versions gives the weight version of each model.
	Versions map[string]int64
}
