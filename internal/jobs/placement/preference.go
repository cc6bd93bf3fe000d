package placement

// Preference holds the properties of an item that influence the choice of its replica.
type Preference struct {
	// FailedReplicas names the replicas at which the item has failed.
	FailedReplicas []string
	// Urgent is set if an attempt at an unresponsive replica would make the item late.
	Urgent bool
	// Fastest is set if the item was moved because it is late or about to be: it goes to the
	// fastest replica with a free slot. It applies to PickByCompletion only.
	Fastest bool
}
