package slowstart

// summary counts the permits requested and allotted since the last log line.
type summary struct {
	// questions counts the replicas over all requests.
	questions int
	allotted  int
	refused   int
}
