package slowstart

// summary counts the permits requested and allotted since the last log line.
type summary struct {
	// replicaRequests counts each replica of each request.
	replicaRequests int
	allotted        int
	refused         int
}
