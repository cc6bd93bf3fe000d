package bench

// FailedError means that a run ended but found something broken.
type FailedError struct{ What string }

// Error says what was found.
func (e *FailedError) Error() string { return e.What }

// UsageError is a command line that cannot be taken.
type UsageError struct{ What string }

// Error says what is wrong.
func (e *UsageError) Error() string { return e.What }
