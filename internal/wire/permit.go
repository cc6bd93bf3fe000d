package wire

// ReplicaCount is a number of requests to a replica.
type ReplicaCount struct {
	Replica string
	Count   uint32
}

// PermitAsk asks for permits to send requests to replicas that are warming up.
type PermitAsk struct {
	Node        string
	Incarnation uint64
	Wanted      []ReplicaCount
}

// PermitGrant is the reply to a PermitAsk.
type PermitGrant struct {
	Granted []ReplicaCount
	// SpanMs is how long the permits are valid, in milliseconds, counted from the sending
	// of the PermitAsk.
	SpanMs uint32
}
