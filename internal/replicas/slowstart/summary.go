package slowstart

// summary adds up the requests for permits between two log lines.
type summary struct {
	// questions counts the replicas named in all requests.
	questions int
	allotted  int
	refused   int
}
