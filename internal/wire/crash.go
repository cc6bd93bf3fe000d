package wire

// ReplicaEnd is the end of a replica under a request.
type ReplicaEnd struct {
	Replica string
	// AgoMs is how long before the message it was, in milliseconds.
	AgoMs uint32
}

// CrashReport tells which replicas have ended under a request, or that the request was
// served. It has no answer.
type CrashReport struct {
	// Fingerprint is the request's, as in package quarantine.
	Fingerprint []byte
	// Ends are all that the sender knows of.
	Ends []ReplicaEnd
	// Served tells that a replica has answered the request whole.
	Served bool
}
