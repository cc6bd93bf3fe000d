package autoscale

// Order is a request to the platform for a number of replicas of a service in a zone.
type Order struct {
	Service string
	Zone    string
	// Replicas is the total number of replicas in the zone, not the difference.
	Replicas int
	// Holder and Token identify the lease under which the order is sent.
	Holder string
	Token  uint64
}
