package wire

// ReplicaEnd is a crash of a replica while it ran a request.
type ReplicaEnd struct {
	// Replica is the ID of the incarnation that crashed.
	Replica string
	// AgoMs is the time from the crash to the sending of the message, in milliseconds. It
	// is relative because the clocks of nodes are not synchronized.
	AgoMs uint32
}

// CrashReport reports the replicas that crashed while they ran a request, or that the request
// was served. If it is sent as a call, the reply is a CrashReport with the crashes known to the
// receiver.
type CrashReport struct {
	// Fingerprint identifies the request, as computed by package quarantine.
	Fingerprint []byte
	// Ends are all crashes known to the sender.
	Ends []ReplicaEnd
	// Served means that a replica has sent a complete response, so that earlier crashes no
	// longer count against the request.
	Served bool
}
