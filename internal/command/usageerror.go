package command

// UsageError reports an invalid command line.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }
