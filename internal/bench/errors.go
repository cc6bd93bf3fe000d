package bench

// FailedError reports a run that completed and found a violated invariant.
type FailedError struct{ Message string }

// Error implements error.
func (e *FailedError) Error() string { return e.Message }

// UsageError reports an invalid command line.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }
