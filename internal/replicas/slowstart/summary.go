package slowstart

// summary adds up what was asked of an allotter, for one line in the log.
type summary struct {
	// questions counts the replicas asked for, in all questions.
	questions int
	allotted  int
	refused   int
}
