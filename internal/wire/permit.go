package wire

// ReplicaCount is a number of requests to a replica.
type ReplicaCount struct {
	Replica string
	Count   uint32
}

// PermitAsk asks for permits to send requests to replicas that warm up.
type PermitAsk struct {
	Node        string
	Incarnation uint64
	Wanted      []ReplicaCount
}

// PermitGrant answers a PermitAsk.
type PermitGrant struct {
	Granted []ReplicaCount
	// SpanMs is how long the permits may be used, counted from the sending of the
	// PermitAsk, in milliseconds.
	SpanMs uint32
}
