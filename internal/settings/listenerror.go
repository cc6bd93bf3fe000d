package settings

import "fmt"

// ListenError is an address that cannot be listened on.
type ListenError struct {
	Setting string
	Address string
	Cause   error
}

// Error names the setting, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s (setting %s): %v", e.Address, e.Setting, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
