package settings

import "fmt"

// ListenError reports that the node cannot listen on an address.
type ListenError struct {
	Setting string
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s (setting %s): %v", e.Address, e.Setting, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }
