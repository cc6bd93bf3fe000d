package autoscale

// Order asks for a number of replicas of a service in a zone.
type Order struct {
	Service string
	Zone    string
	// Replicas is how many the zone is to hold in all.
	Replicas int
	// Holder and Token name the lease under which it is given.
	Holder string
	Token  uint64
}
