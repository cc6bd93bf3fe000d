package slowstart

// summary counts the permits requested and allotted since the last log line.
type summary struct {
	// requested counts the replicas over all requests.
	requested int
	allotted  int
	refused   int
}
