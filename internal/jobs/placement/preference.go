package placement

// Preference is what an item wants of its replica.
type Preference struct {
	// FailedReplicas names the replicas that have failed the item.
	FailedReplicas []string
	// Urgent is set where an attempt at a replica that doesn't answer would make the item
	// late.
	Urgent bool
}
