package command

// UsageError is a command line that cannot be understood.
type UsageError struct{ Message string }

// Error gives the message.
func (e *UsageError) Error() string { return e.Message }
