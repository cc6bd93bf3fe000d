package bench

// FailedError reports a run that completed and found a violated invariant.
type FailedError struct{ What string }

// Error implements error.
func (e *FailedError) Error() string { return e.What }

// UsageError reports an invalid command line.
type UsageError struct{ What string }

// Error implements error.
func (e *UsageError) Error() string { return e.What }
